#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace review {

inline constexpr std::uint8_t kSyn = 32;
inline constexpr std::uint8_t kAck = 64;
inline constexpr std::uint8_t kFin = 16;
inline constexpr std::uint8_t kRst = 2;
inline constexpr std::uint8_t kBounced = 1;

/// @brief A packet of a flow, as the wire format of the platform has it.
struct Packet
{
  std::uint8_t mFlags = 0;
  std::uint32_t mPad = 0;
  std::uint32_t mEcho = 0;
  std::uint32_t mSource = 0;
  std::uint16_t mSourcePort = 0;
  std::uint32_t mDestination = 0;
  std::uint16_t mDestinationPort = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgement = 0;
  std::uint32_t mSum = 0;
  std::string mData;

  bool has(std::uint8_t aFlag) const { return (mFlags & aFlag) != 0; }

  /// Keyed sum over all fields but echo, pad and the flag BOUNCED.
  std::uint32_t expectedSum() const
  {
    constexpr std::uint32_t kKey = 0x5bd1e995;
    std::uint32_t sum = kKey;
    const auto add = [&sum](std::uint32_t aValue) { sum = (sum ^ aValue) * 0x01000193U; };
    add(mFlags & static_cast<std::uint8_t>(~kBounced));
    add(mSource);
    add(mSourcePort);
    add(mDestination);
    add(mDestinationPort);
    add(mSequence);
    add(mAcknowledgement);
    for (const char byte : mData) {
      add(static_cast<std::uint8_t>(byte));
    }
    return sum == 0 ? 1 : sum;
  }

  std::string encode() const
  {
    std::string bytes;
    const auto add = [&bytes](std::uint32_t aValue, unsigned aSize) {
      for (unsigned i = aSize; i > 0; --i) {
        bytes += static_cast<char>((aValue >> (8U * (i - 1))) & 255U);
      }
    };
    add(static_cast<std::uint32_t>(mData.size()), 2);
    add(mFlags, 1);
    add(mPad, 3);
    add(mEcho, 4);
    add(mSource, 4);
    add(mDestinationPort, 2);
    add(mDestination, 4);
    add(mSourcePort, 2);
    add(mSequence, 4);
    add(mAcknowledgement, 4);
    add(mSum, 4);
    return bytes + mData;
  }

  static std::optional<Packet> decode(const std::string& aBytes)
  {
    constexpr std::size_t kHeader = 34;
    std::size_t offset = 0;
    const auto read = [&](unsigned aSize) {
      std::uint32_t value = 0;
      for (unsigned i = 0; i < aSize; ++i) {
        value = (value << 8U) | static_cast<std::uint8_t>(aBytes[offset++]);
      }
      return value;
    };
    if (aBytes.size() < kHeader || read(2) != aBytes.size() - kHeader) {
      return std::nullopt;
    }
    Packet packet;
    packet.mFlags = static_cast<std::uint8_t>(read(1));
    packet.mPad = read(3);
    packet.mEcho = read(4);
    packet.mSource = read(4);
    packet.mDestinationPort = static_cast<std::uint16_t>(read(2));
    packet.mDestination = read(4);
    packet.mSourcePort = static_cast<std::uint16_t>(read(2));
    packet.mSequence = read(4);
    packet.mAcknowledgement = read(4);
    packet.mSum = read(4);
    packet.mData = aBytes.substr(kHeader);
    return packet;
  }
};

/// Address and port of the client, then of the route.
using FlowKey = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

} // namespace review
