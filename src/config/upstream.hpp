#pragma once

#include "config/upstream_state.hpp"
#include "flow/endpoint.hpp"

#include <string>

namespace cornelcross::config {

/// @brief One back end of a service, as declared by operators.
struct Upstream
{
  std::string mName;         ///< unique in its service
  flow::Endpoint mAgent;     ///< endpoint at which the agent receives datagrams
  flow::Endpoint mAddress;   ///< endpoint at which the upstream VM receives IP packets in UDP
  std::string mZone;         ///< availability zone
  std::uint32_t mSlots = 1;  ///< number of requests that the upstream serves concurrently
  std::uint32_t mWeight = 1; ///< share of new flows relative to the other upstreams
  UpstreamState mState = UpstreamState::kServing;
  std::uint64_t mStartedAtMs = 0; ///< wall clock of the last start; 0 if undeclared
  std::uint64_t mIdentity = 0; ///< hash of service and upstream name; the key in rendezvous hashing

  auto operator<=>(const Upstream&) const = default;
};

/// @brief 64-bit hash (XXH3) of the names of a service and of one of its upstreams.
std::uint64_t upstreamIdentity(std::string_view aService, std::string_view aUpstream);

} // namespace cornelcross::config
