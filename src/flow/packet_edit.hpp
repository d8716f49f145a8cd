#pragma once

#include "flow/tcp_packet.hpp"

#include <vector>

namespace cornelcross::flow {

/// @brief Owned bytes of one packet or datagram.
using Bytes = std::vector<std::byte>;

/// @brief TCP segment without payload and options.
Bytes makeEmptySegment(Endpoint aFrom,
                       Endpoint aTo,
                       std::uint8_t aFlags,
                       std::uint32_t aSequence,
                       std::uint32_t aAcknowledgement);

/// @brief RST that answers aPacket in the name of its destination (RFC 9293, section 3.5.2).
/// @note Never answer a RST with a RST; callers check that.
Bytes makeReset(const TcpPacket& aPacket);

/// @brief Removes the payload of a SYN, so that data in it (RFC 7413) can't run twice.
void stripSynPayload(Bytes& aBytes, const TcpPacket& aPacket);

/// @brief Lowers the MSS option of a SYN or SYN-ACK to aMaxSegmentBytes if it is larger.
/// A SYN without the option stays as it is: its sender is held to 536 bytes (RFC 9293, 3.7.1).
void clampMss(Bytes& aBytes, const TcpPacket& aPacket, std::uint16_t aMaxSegmentBytes);

/// @brief Replaces the sequence number of a segment.
void setSequence(Bytes& aBytes, const TcpPacket& aPacket, std::uint32_t aSequence);

/// @brief Recomputes the IPv4 header checksum and the TCP checksum.
void updateChecksums(std::span<std::byte> aBytes, std::size_t aIpHeaderLength);

} // namespace cornelcross::flow
