#pragma once

#include "flow/flow_key.hpp"
#include "wire/forward.hpp"

#include <array>
#include <string_view>
#include <variant>

namespace cornelcross::balancer {

/// @brief Why a balancer dropped a packet.
enum class DropReason
{
  kMalformed,  ///< no complete TCP segment
  kNoService,  ///< no service has this address
  kNoUpstream, ///< no upstream may receive the packet
};

/// @brief Every reason, in the order of the enumeration.
inline constexpr std::array kDropReasons = {
  DropReason::kMalformed,
  DropReason::kNoService,
  DropReason::kNoUpstream,
};

/// @brief Name of the reason in logs and metrics.
std::string_view toString(DropReason aReason);

/// @brief Send a message to an agent. Its packet is left empty: it is the one decided on.
struct SendForward
{
  flow::Endpoint mTo;
  wire::Forward mForward;
  bool mIsInitialSyn = false;

  auto operator<=>(const SendForward&) const = default;
};

/// @brief Refuse a new flow with a reset, which nothing of it has run before.
struct RefuseFlow
{
  flow::FlowKey mFlow;
  flow::Bytes mReset;
  DropReason mReason = DropReason::kNoService;

  auto operator<=>(const RefuseFlow&) const = default;
};

/// @brief Drop the packet.
struct DropPacket
{
  DropReason mReason = DropReason::kMalformed;

  auto operator<=>(const DropPacket&) const = default;
};

/// @brief What a balancer does with one packet.
using Action = std::variant<SendForward, RefuseFlow, DropPacket>;

} // namespace cornelcross::balancer
