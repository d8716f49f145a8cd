#pragma once

#include "flow/packet_edit.hpp"
#include "flow/tcp_packet.hpp"

#include <string>

/// @brief Runs the programs as processes beside stand-ins for the platform, and injects faults.
namespace cornelcross::soak {

/// @brief One packet of a caller or an upstream.
struct Segment
{
  flow::Endpoint mSource;
  flow::Endpoint mDestination;
  std::uint8_t mFlags = 0; ///< of flow::TcpFlag
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgement = 0;
  std::string mPayload = {};

  auto operator<=>(const Segment&) const = default;
};

/// @brief Encodes a packet in the platform's format.
flow::Bytes encode(const Segment& aSegment);

/// @brief The packet as an upstream returns it that does not hold its flow.
flow::Bytes markReturned(std::span<const std::byte> aPacket);

/// @brief Payload of a valid packet.
std::string payloadOf(std::span<const std::byte> aPacket);

} // namespace cornelcross::soak
