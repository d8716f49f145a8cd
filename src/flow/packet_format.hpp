#pragma once

#include "flow/packet_edit.hpp"

#include <functional>

namespace cornelcross::flow {

/// @brief Functions for the packets that callers and upstreams exchange. Decision code uses only
/// the parsed header fields. An empty function marks an operation that the format does not support;
/// a format with sealed packets, for example, permits no edits.
struct PacketFormat
{
  /// Parses the header fields of one packet. Returns empty unless the packet is complete.
  std::function<std::optional<TcpPacket>(std::span<const std::byte>)> mParse;

  /// Builds the RST that replies to a packet from the destination of the packet.
  std::function<Bytes(const TcpPacket&)> mMakeReset;

  /// Builds a segment without payload. Parameters: source, destination, flags, sequence number,
  /// acknowledgement number. May be empty.
  std::function<Bytes(Endpoint, Endpoint, std::uint8_t, std::uint32_t, std::uint32_t)>
    mMakeEmptySegment;

  /// Removes the payload of a SYN. May be empty.
  std::function<void(Bytes&, const TcpPacket&)> mStripSynPayload;

  /// Limits the maximum segment size in bytes that a SYN or SYN-ACK announces. May be empty.
  std::function<void(Bytes&, const TcpPacket&, std::uint16_t)> mClampMss;

  /// Replaces the sequence number. May be empty.
  std::function<void(Bytes&, const TcpPacket&, std::uint32_t)> mSetSequence;

  /// Writes a tag into a packet. If the upstream returns the packet, the tag is still present.
  /// Empty if upstreams do not return packets, but reply with RST to a packet of a flow that they
  /// do not own.
  std::function<void(Bytes&, std::uint32_t)> mSetTag;

  /// Clears the mark of a returned packet, so that another upstream can receive the packet. Set if
  /// and only if mSetTag is set.
  std::function<void(Bytes&)> mClearReturnedMark;

  /// Size of the largest packet.
  std::size_t mMaxPacketBytes = 65507;

  /// @brief True if upstreams return the packets that they do not accept.
  bool returnsPackets() const { return static_cast<bool>(mSetTag); }
};

/// @brief Format of IPv4 packets that contain TCP segments. Supports all edits; upstreams do not
/// return packets.
PacketFormat ipv4Format();

} // namespace cornelcross::flow
