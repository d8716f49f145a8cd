#include "platform/soak/packets.hpp"

#include "flow/byte_order.hpp"
#include "platform/packet.hpp"

#include <algorithm>

namespace cornelcross::soak {

namespace {

// The header is written here a second time, so that an error in platform/packet.cpp shows.
constexpr std::size_t kFlagsOffset = 2;
constexpr std::size_t kPadOffset = 3;
constexpr std::size_t kEchoOffset = 6;
constexpr std::uint8_t kReturned = 1;

std::uint8_t toBits(std::uint8_t aFlags)
{
  std::uint8_t bits = 0;
  bits |= (aFlags & flow::kSyn) != 0 ? 32 : 0;
  bits |= (aFlags & flow::kAck) != 0 ? 64 : 0;
  bits |= (aFlags & flow::kFin) != 0 ? 16 : 0;
  bits |= (aFlags & flow::kRst) != 0 ? 2 : 0;
  return bits;
}

} // namespace

flow::Bytes encode(const Segment& aSegment)
{
  flow::Bytes bytes(platform::kHeaderBytes + aSegment.mPayload.size());
  flow::write16(bytes, 0, static_cast<std::uint16_t>(aSegment.mPayload.size()));
  bytes[kFlagsOffset] = static_cast<std::byte>(toBits(aSegment.mFlags));
  flow::write32(bytes, 10, aSegment.mSource.mAddress.mValue);
  flow::write16(bytes, 14, aSegment.mDestination.mPort);
  flow::write32(bytes, 16, aSegment.mDestination.mAddress.mValue);
  flow::write16(bytes, 20, aSegment.mSource.mPort);
  flow::write32(bytes, 22, aSegment.mSequence);
  flow::write32(bytes, 26, aSegment.mAcknowledgement);
  std::transform(aSegment.mPayload.begin(),
                 aSegment.mPayload.end(),
                 bytes.begin() + platform::kHeaderBytes,
                 [](char aCharacter) { return static_cast<std::byte>(aCharacter); });
  return bytes;
}

flow::Bytes markReturned(std::span<const std::byte> aPacket)
{
  flow::Bytes bytes(aPacket.begin(), aPacket.end());
  bytes[kFlagsOffset] |= std::byte{ kReturned };
  std::fill(bytes.begin() + kPadOffset, bytes.begin() + kEchoOffset, std::byte{ 0 });
  return bytes;
}

std::string payloadOf(std::span<const std::byte> aPacket)
{
  std::string payload;
  for (const std::byte byte : aPacket.subspan(platform::kHeaderBytes)) {
    payload += static_cast<char>(byte);
  }
  return payload;
}

} // namespace cornelcross::soak
