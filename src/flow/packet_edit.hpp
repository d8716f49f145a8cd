#pragma once

#include "flow/tcp_packet.hpp"

#include <vector>

namespace cornelcross::flow {

/// @brief Content of one packet or datagram.
using Bytes = std::vector<std::byte>;

/// @brief Builds an IPv4 packet with a TCP segment that has neither payload nor options.
Bytes makeEmptySegment(Endpoint aFrom,
                       Endpoint aTo,
                       std::uint8_t aFlags,
                       std::uint32_t aSequence,
                       std::uint32_t aAcknowledgement);

/// @brief Builds the RST that replies to aPacket from its destination (RFC 9293, section 3.5.2).
/// @note Callers ensure that aPacket is not a RST, to which a RST must not reply.
Bytes makeReset(const TcpPacket& aPacket);

/// @brief Removes the payload of a SYN, so that a request in the SYN (RFC 7413) cannot be executed
/// twice.
void stripSynPayload(Bytes& aBytes, const TcpPacket& aPacket);

/// @brief Lowers the MSS option of a SYN or SYN-ACK to at most aMaxSegmentBytes. A packet without
/// the option stays unchanged: TCP then assumes a limit of 536 bytes (RFC 9293, section 3.7.1).
void clampMss(Bytes& aBytes, const TcpPacket& aPacket, std::uint16_t aMaxSegmentBytes);

/// @brief Replaces the sequence number of a segment.
void setSequence(Bytes& aBytes, const TcpPacket& aPacket, std::uint32_t aSequence);

/// @brief Recomputes the IPv4 header checksum and the TCP checksum.
void updateChecksums(std::span<std::byte> aBytes, std::size_t aIpHeaderLength);

} // namespace cornelcross::flow
