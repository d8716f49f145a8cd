#pragma once

#include "config/upstream_state.hpp"
#include "flow/endpoint.hpp"

#include <string>

namespace cornelcross::config {

/// @brief One back end of a service, as declared by operators.
struct Upstream
{
  std::string mName;         ///< unique in its service
  flow::Endpoint mAgent;     ///< where its agent receives datagrams
  flow::Endpoint mAddress;   ///< where the upstream VM receives IP packets in UDP
  std::string mZone;         ///< availability zone
  std::uint32_t mSlots = 1;  ///< requests that it serves at once
  std::uint32_t mWeight = 1; ///< share of new flows relative to the others
  UpstreamState mState = UpstreamState::kServing;
  std::uint64_t mStartedAtMs = 0; ///< wall clock of its last start; 0 if not stated
  std::uint64_t mIdentity = 0;    ///< hash of service and upstream name; the key for ranking

  auto operator<=>(const Upstream&) const = default;
};

/// @brief Identity of the upstream aUpstream of the service aService.
std::uint64_t upstreamIdentity(std::string_view aService, std::string_view aUpstream);

} // namespace cornelcross::config
