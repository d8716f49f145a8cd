#pragma once

#include "flow/byte_order.hpp"
#include "platform/packet.hpp"

namespace cornelcross::test {

/// @brief Fields of a packet in the platform's format, for makeSealed().
struct SealedPacket
{
  flow::Endpoint mSource;
  flow::Endpoint mDestination;
  std::uint8_t mFlagBits = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgement = 0;
  std::size_t mDataBytes = 0;
};

inline constexpr std::uint8_t kSealedSyn = 32;
inline constexpr std::uint8_t kSealedAck = 64;
inline constexpr std::uint8_t kSealedReturned = 1;

/// @brief Builds a packet as its sender writes the packet; the checksum field has an arbitrary
/// value.
inline flow::Bytes makeSealed(const SealedPacket& aPacket)
{
  flow::Bytes bytes(platform::kHeaderBytes + aPacket.mDataBytes);
  flow::write16(bytes, 0, static_cast<std::uint16_t>(aPacket.mDataBytes));
  bytes[2] = std::byte{ aPacket.mFlagBits };
  flow::write32(bytes, 10, aPacket.mSource.mAddress.mValue);
  flow::write16(bytes, 14, aPacket.mDestination.mPort);
  flow::write32(bytes, 16, aPacket.mDestination.mAddress.mValue);
  flow::write16(bytes, 20, aPacket.mSource.mPort);
  flow::write32(bytes, 22, aPacket.mSequence);
  flow::write32(bytes, 26, aPacket.mAcknowledgement);
  flow::write32(bytes, 30, 0xA1B2C3D5U);
  return bytes;
}

/// @brief Builds the packet that a receiver returns: the returned flag is set, the tag is
/// unchanged.
inline flow::Bytes returned(flow::Bytes aPacket)
{
  aPacket[2] |= std::byte{ kSealedReturned };
  return aPacket;
}

} // namespace cornelcross::test
