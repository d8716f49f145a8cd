#pragma once

#include "telemetry/event.hpp"
#include "wire/message.hpp"

#include <array>
#include <variant>
#include <vector>

namespace cornelcross::agent {

/// @brief Why an agent dropped a packet.
enum class DropReason
{
  kMalformed,      ///< no complete TCP segment
  kNotConfigured,  ///< no upstream of the configuration has this agent
  kForeignService, ///< addressed to a service that the agent's upstream doesn't belong to
  kZoneOut,        ///< the agent's availability zone is out
  kNoOwner,        ///< no candidate owns the flow, but not every one could say so
  kAlreadyQueued,  ///< retransmission of a packet that waits for room
  kNotOwned,       ///< the upstream's RST for a flow that it was only asked about
  kNoRecord,       ///< a SYN-ACK of the upstream for a flow without a record
  kTooManyHops,    ///< a SYN that agents of different configurations handed to each other
};

/// @brief Every reason, in the order of the enumeration.
inline constexpr std::array kDropReasons = {
  DropReason::kMalformed, DropReason::kNotConfigured, DropReason::kForeignService,
  DropReason::kZoneOut,   DropReason::kNoOwner,       DropReason::kAlreadyQueued,
  DropReason::kNotOwned,  DropReason::kNoRecord,      DropReason::kTooManyHops,
};

/// @brief Name of the reason in logs and metrics.
std::string_view toString(DropReason aReason);

/// @brief Deliver an IP packet to the upstream.
struct DeliverToUpstream
{
  flow::Endpoint mTo;
  flow::Bytes mPacket;

  auto operator<=>(const DeliverToUpstream&) const = default;
};

/// @brief Send an IP packet straight back to the caller.
struct SendToCaller
{
  flow::Bytes mPacket;

  auto operator<=>(const SendToCaller&) const = default;
};

/// @brief Send a message to another process.
struct SendMessage
{
  flow::Endpoint mTo;
  wire::Message mMessage;

  auto operator<=>(const SendMessage&) const = default;
};

/// @brief Drop the packet.
struct DropPacket
{
  DropReason mReason = DropReason::kMalformed;

  auto operator<=>(const DropPacket&) const = default;
};

/// @brief One step that the shell carries out.
using Action =
  std::variant<DeliverToUpstream, SendToCaller, SendMessage, DropPacket, telemetry::Event>;

/// @brief Steps in their order.
using Actions = std::vector<Action>;

/// @brief Appends further steps.
void append(Actions& aActions, Actions aMore);

} // namespace cornelcross::agent
