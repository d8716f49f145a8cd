#pragma once

#include "flow/flow_key.hpp"
#include "wire/forward.hpp"

#include <array>
#include <string_view>
#include <variant>

namespace cornelcross::balancer {

/// @brief Reason for which a balancer drops a packet or refuses a flow.
enum class DropReason
{
  kMalformed,  ///< the packet is not a complete TCP segment
  kNoService,  ///< no service has this address
  kNoUpstream, ///< no upstream of the service accepts the packet
};

/// @brief All reasons, in the order of the enumeration.
inline constexpr std::array kDropReasons = {
  DropReason::kMalformed,
  DropReason::kNoService,
  DropReason::kNoUpstream,
};

/// @brief Name of the reason in logs and metrics.
std::string_view toString(DropReason aReason);

/// @brief Sends a Forward to an agent. mForward.mPacket is empty; the packet that was passed to
/// PacketRouter::route() takes its place.
struct SendForward
{
  flow::Endpoint mTo;
  wire::Forward mForward;
  bool mIsInitialSyn = false;

  auto operator<=>(const SendForward&) const = default;
};

/// @brief Refuses a new flow with an RST segment. No upstream has processed anything of the flow.
struct RefuseFlow
{
  flow::FlowKey mFlow;
  flow::Bytes mReset;
  DropReason mReason = DropReason::kNoService;

  auto operator<=>(const RefuseFlow&) const = default;
};

/// @brief Drops the packet.
struct DropPacket
{
  DropReason mReason = DropReason::kMalformed;

  auto operator<=>(const DropPacket&) const = default;
};

/// @brief Action of a balancer for one packet.
using Action = std::variant<SendForward, RefuseFlow, DropPacket>;

} // namespace cornelcross::balancer
