#include "flow/tcp_packet.hpp"

#include "flow/byte_order.hpp"

namespace cornelcross::flow {

namespace {

constexpr std::size_t kMinIpHeaderBytes = 20;  // RFC 791
constexpr std::size_t kMinTcpHeaderBytes = 20; // RFC 9293
constexpr std::uint8_t kProtocolTcp = 6;
constexpr std::uint16_t kFragmentMask = 0x3FFF; // "more fragments" flag and fragment offset

} // namespace

std::optional<TcpPacket> TcpPacket::parse(std::span<const std::byte> aPacket)
{
  if (aPacket.size() < kMinIpHeaderBytes || (read8(aPacket, 0) >> 4U) != 4) {
    return std::nullopt;
  }
  const std::size_t ipHeader = (read8(aPacket, 0) & 0x0FU) * 4U;
  const std::size_t total = read16(aPacket, 2);
  const bool isFragment = (read16(aPacket, 6) & kFragmentMask) != 0;
  if (ipHeader < kMinIpHeaderBytes || total != aPacket.size() ||
      total < ipHeader + kMinTcpHeaderBytes || isFragment || read8(aPacket, 9) != kProtocolTcp) {
    return std::nullopt;
  }
  const std::size_t tcpHeader = (read8(aPacket, ipHeader + 12) >> 4U) * 4U;
  if (tcpHeader < kMinTcpHeaderBytes || total < ipHeader + tcpHeader) {
    return std::nullopt;
  }
  TcpPacket packet;
  packet.mSource = { { read32(aPacket, 12) }, read16(aPacket, ipHeader) };
  packet.mDestination = { { read32(aPacket, 16) }, read16(aPacket, ipHeader + 2) };
  packet.mSequence = read32(aPacket, ipHeader + 4);
  packet.mAcknowledgement = read32(aPacket, ipHeader + 8);
  packet.mFlags = read8(aPacket, ipHeader + 13) & 0x3FU;
  packet.mIpHeaderLength = static_cast<std::uint16_t>(ipHeader);
  packet.mTcpHeaderLength = static_cast<std::uint16_t>(tcpHeader);
  packet.mPayloadLength = static_cast<std::uint32_t>(total - ipHeader - tcpHeader);
  return packet;
}

} // namespace cornelcross::flow
