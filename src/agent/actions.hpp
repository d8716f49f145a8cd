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
  kMalformed,      ///< the packet is no complete TCP segment
  kNotConfigured,  ///< the configuration assigns no upstream to this agent
  kForeignService, ///< the packet's service is not the service of this agent's upstream
  kZoneOut,        ///< the agent's availability zone is out of service
  kNoOwner,        ///< no candidate owns the flow, but not every candidate was able to deny it
  kAlreadyQueued,  ///< the packet is a retransmission of a queued packet
  kNotOwned,       ///< the upstream reset or returned a packet of an ownership query
  kNoRecord,       ///< the upstream sent a SYN-ACK for a flow without a record
  kTooManyHops,    ///< agents with different configurations forwarded a SYN to each other
};

/// @brief Every DropReason, in the order of the enumeration.
inline constexpr std::array kDropReasons = {
  DropReason::kMalformed, DropReason::kNotConfigured, DropReason::kForeignService,
  DropReason::kZoneOut,   DropReason::kNoOwner,       DropReason::kAlreadyQueued,
  DropReason::kNotOwned,  DropReason::kNoRecord,      DropReason::kTooManyHops,
};

/// @brief Name of a DropReason in logs and metrics.
std::string_view toString(DropReason aReason);

/// @brief Delivers an IP packet to the upstream.
struct DeliverToUpstream
{
  flow::Endpoint mTo;
  flow::Bytes mPacket;

  auto operator<=>(const DeliverToUpstream&) const = default;
};

/// @brief Sends an IP packet directly to the caller, not through a balancer.
struct SendToCaller
{
  flow::Bytes mPacket;

  auto operator<=>(const SendToCaller&) const = default;
};

/// @brief Sends a message to another process.
struct SendMessage
{
  flow::Endpoint mTo;
  wire::Message mMessage;

  auto operator<=>(const SendMessage&) const = default;
};

/// @brief Tries to connect to the upstream over TCP and closes an accepted connection at once. The
/// outcome is passed to FlowManager::onConnectionAttempt().
struct ConnectToUpstream
{
  flow::Endpoint mTo;

  auto operator<=>(const ConnectToUpstream&) const = default;
};

/// @brief Connects to the upstream over TCP and holds the connection. The outcome is passed to
/// FlowManager::onWatchAttempt().
struct WatchUpstream
{
  flow::Endpoint mTo;

  auto operator<=>(const WatchUpstream&) const = default;
};

/// @brief Reads the record of the upstream from the configuration service. The response is passed
/// to FlowManager::onUpstreamRecord().
struct ReadUpstreamRecord
{
  std::string mUpstream; ///< its name

  auto operator<=>(const ReadUpstreamRecord&) const = default;
};

/// @brief Drops the packet.
struct DropPacket
{
  DropReason mReason = DropReason::kMalformed;

  auto operator<=>(const DropPacket&) const = default;
};

/// @brief One operation that Runtime performs.
using Action = std::variant<DeliverToUpstream,
                            SendToCaller,
                            SendMessage,
                            DropPacket,
                            telemetry::Event,
                            ConnectToUpstream,
                            WatchUpstream,
                            ReadUpstreamRecord>;

/// @brief Operations in the order in which Runtime performs them.
using Actions = std::vector<Action>;

/// @brief Appends aMore to aActions.
void append(Actions& aActions, Actions aMore);

} // namespace cornelcross::agent
