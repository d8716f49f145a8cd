#pragma once

#include "flow/byte_order.hpp"
#include "flow/packet_edit.hpp"

/// @brief Helpers of the unit tests.
namespace cornelcross::test {

/// @brief Fields of a TCP segment for makePacket(); all other header fields have fixed values.
struct Segment
{
  flow::Endpoint mSource;
  flow::Endpoint mDestination;
  std::uint8_t mFlags = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgement = 0;
  std::size_t mPayloadBytes = 0;
  std::uint16_t mMss = 0; ///< value of the MSS option; 0 omits the option
};

/// @brief Builds an IPv4 packet with valid checksums.
inline flow::Bytes makePacket(const Segment& aSegment)
{
  constexpr std::size_t kIpHeaderBytes = 20;
  const std::size_t tcpHeaderBytes = aSegment.mMss == 0 ? 20 : 24;
  flow::Bytes bytes(kIpHeaderBytes + tcpHeaderBytes + aSegment.mPayloadBytes);
  const std::span<std::byte> out(bytes);
  out[0] = std::byte{ 0x45 };
  flow::write16(out, 2, static_cast<std::uint16_t>(out.size()));
  out[8] = std::byte{ 64 };
  out[9] = std::byte{ 6 };
  flow::write32(out, 12, aSegment.mSource.mAddress.mValue);
  flow::write32(out, 16, aSegment.mDestination.mAddress.mValue);
  const auto tcp = out.subspan(kIpHeaderBytes);
  flow::write16(tcp, 0, aSegment.mSource.mPort);
  flow::write16(tcp, 2, aSegment.mDestination.mPort);
  flow::write32(tcp, 4, aSegment.mSequence);
  flow::write32(tcp, 8, aSegment.mAcknowledgement);
  tcp[12] = static_cast<std::byte>((tcpHeaderBytes / 4) << 4U);
  tcp[13] = std::byte{ aSegment.mFlags };
  if (aSegment.mMss != 0) {
    tcp[20] = std::byte{ 2 };
    tcp[21] = std::byte{ 4 };
    flow::write16(tcp, 22, aSegment.mMss);
  }
  flow::updateChecksums(out, kIpHeaderBytes);
  return bytes;
}

} // namespace cornelcross::test
