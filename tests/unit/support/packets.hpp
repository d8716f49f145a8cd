#pragma once

#include "flow/byte_order.hpp"
#include "flow/packet_edit.hpp"

/// @brief Helpers for tests of packets and decisions.
namespace cornelcross::test {

/// @brief Fields of a TCP segment to build; everything else is plain.
struct Segment
{
  flow::Endpoint mSource;
  flow::Endpoint mDestination;
  std::uint8_t mFlags = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgement = 0;
  std::size_t mPayload = 0;
  std::uint16_t mMss = 0; ///< no option if 0
};

/// @brief An IPv4 packet with valid checksums.
inline flow::Bytes makePacket(const Segment& aSegment)
{
  constexpr std::size_t kIpHeader = 20;
  const std::size_t tcpHeader = aSegment.mMss == 0 ? 20 : 24;
  flow::Bytes bytes(kIpHeader + tcpHeader + aSegment.mPayload);
  const std::span<std::byte> out(bytes);
  out[0] = std::byte{ 0x45 };
  flow::write16(out, 2, static_cast<std::uint16_t>(out.size()));
  out[8] = std::byte{ 64 };
  out[9] = std::byte{ 6 };
  flow::write32(out, 12, aSegment.mSource.mAddress.mValue);
  flow::write32(out, 16, aSegment.mDestination.mAddress.mValue);
  const auto tcp = out.subspan(kIpHeader);
  flow::write16(tcp, 0, aSegment.mSource.mPort);
  flow::write16(tcp, 2, aSegment.mDestination.mPort);
  flow::write32(tcp, 4, aSegment.mSequence);
  flow::write32(tcp, 8, aSegment.mAcknowledgement);
  tcp[12] = static_cast<std::byte>((tcpHeader / 4) << 4U);
  tcp[13] = std::byte{ aSegment.mFlags };
  if (aSegment.mMss != 0) {
    tcp[20] = std::byte{ 2 };
    tcp[21] = std::byte{ 4 };
    flow::write16(tcp, 22, aSegment.mMss);
  }
  flow::updateChecksums(out, kIpHeader);
  return bytes;
}

} // namespace cornelcross::test
