#pragma once

#include "flow/packet_edit.hpp"

#include <functional>

namespace cornelcross::flow {

/// @brief Layout of the packets that callers and upstreams exchange. Decisions see the parsed view
/// only; hooks that are empty stand for what a format can't do, as a sealed one allows no edits.
struct PacketFormat
{
  /// Header fields of one packet; empty unless it is complete.
  std::function<std::optional<TcpPacket>(std::span<const std::byte>)> mParse;

  /// Reset that answers a packet in the name of its destination.
  std::function<Bytes(const TcpPacket&)> mMakeReset;

  /// Segment without payload: from, to, flags, sequence, acknowledgement. May be empty.
  std::function<Bytes(Endpoint, Endpoint, std::uint8_t, std::uint32_t, std::uint32_t)>
    mMakeEmptySegment;

  /// Removes the payload of a SYN. May be empty.
  std::function<void(Bytes&, const TcpPacket&)> mStripSynPayload;

  /// Bounds the segment size that a SYN announces, in bytes. May be empty.
  std::function<void(Bytes&, const TcpPacket&, std::uint16_t)> mClampMss;

  /// Replaces the sequence number. May be empty.
  std::function<void(Bytes&, const TcpPacket&, std::uint32_t)> mSetSequence;

  /// Writes a tag that comes back with a packet which the upstream returns. Empty if upstreams
  /// answer a packet of a flow that they don't hold with RST instead.
  std::function<void(Bytes&, std::uint32_t)> mSetTag;

  /// Makes a returned packet one for another upstream. Set if and only if mSetTag is.
  std::function<void(Bytes&)> mClearReturn;

  /// Bytes of the largest packet.
  std::size_t mMaxPacketBytes = 65507;

  /// @brief True if upstreams return the packets that they don't take.
  bool returnsPackets() const { return static_cast<bool>(mSetTag); }
};

/// @brief IPv4 packets that carry TCP.
PacketFormat ipv4Format();

} // namespace cornelcross::flow
