#pragma once

#include "flow/flow_key.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace cornelcross::flow {

/// @brief TCP header flags (RFC 9293, section 3.1).
enum TcpFlag : std::uint8_t
{
  kFin = 0x01,
  kSyn = 0x02,
  kRst = 0x04,
  kPsh = 0x08,
  kAck = 0x10,
};

/// @brief Parsed header fields of one IPv4 packet with a TCP segment. Contains no reference to the
/// packet.
struct TcpPacket
{
  Endpoint mSource;
  Endpoint mDestination;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgement = 0;
  std::uint8_t mFlags = 0;
  std::uint16_t mIpHeaderLength = 0;  ///< bytes
  std::uint16_t mTcpHeaderLength = 0; ///< bytes
  std::uint32_t mPayloadLength = 0;   ///< bytes

  /// The upstream returned the packet, since the upstream neither owns nor accepts the flow.
  bool mIsReturned = false;

  std::uint32_t mTag = 0; ///< see PacketFormat::mSetTag

  auto operator<=>(const TcpPacket&) const = default;

  /// @brief True if every flag of aFlags is set.
  bool has(std::uint8_t aFlags) const { return (mFlags & aFlags) == aFlags; }

  /// @brief True for the first segment of a connection, a SYN without ACK.
  bool isInitialSyn() const { return has(kSyn) && !has(kAck); }

  /// @brief Key of the flow if the caller sent the packet.
  FlowKey keyFromCaller() const { return { mSource, mDestination }; }

  /// @brief Key of the flow if the upstream sent the packet.
  FlowKey keyFromUpstream() const { return { mDestination, mSource }; }

  /// @brief Sequence number that follows this segment.
  std::uint32_t nextSequence() const
  {
    return mSequence + mPayloadLength + (has(kSyn) ? 1U : 0U) + (has(kFin) ? 1U : 0U);
  }

  /// @brief Parses an IPv4 packet. Returns empty unless the packet contains a complete,
  /// unfragmented TCP segment.
  static std::optional<TcpPacket> parse(std::span<const std::byte> aPacket);
};

} // namespace cornelcross::flow
