#pragma once

#include "flow/flow_key.hpp"
#include "routing/service_routes.hpp"

#include <span>

namespace cornelcross::routing {

/// @brief Candidates of one Forward, apart from the remembered owner that may precede them.
inline constexpr std::size_t kChunk = 15;

/// @brief Services behind an address: the one that takes the new flow, or would if the packet
/// opened one, before all others that may hold an established flow.
using Services = std::vector<const ServiceRoutes*>;

/// @brief Agents that may take a new flow, in the order in which they are asked, from rank
/// aChunk * kChunk on, at most kChunk of them: the same on every process at the same revision.
std::vector<flow::Endpoint> openingChunk(const ServiceRoutes& aRoutes,
                                         const flow::FlowKey& aFlow,
                                         std::size_t aChunk);

/// @brief True if no chunk for a new flow follows aChunk.
inline bool isLastOpeningChunk(const ServiceRoutes& aRoutes, std::size_t aChunk)
{
  return (aChunk + 1) * kChunk >= aRoutes.receivers();
}

/// @brief Part of the agents that may own an established flow.
struct OwningChunk
{
  std::vector<flow::Endpoint> mAgents; ///< in the order in which they are asked
  bool mIsLast = true;                 ///< no agent follows

  auto operator<=>(const OwningChunk&) const = default;
};

/// @brief Agents that may own an established flow: those of the first service, most likely owner
/// first, then those of the others, cut into chunks. The same on every process whose listing() is
/// the same.
/// @param aBefore agents of the chunk before, as a process with another listing may have cut it;
///                this one begins behind the last of them
OwningChunk owningChunk(const Services& aServices,
                        const flow::FlowKey& aFlow,
                        std::size_t aChunk,
                        const std::vector<flow::Endpoint>& aBefore = {});

/// @brief Hash of all that owningChunk() depends on, apart from the flow.
std::uint64_t listing(const Services& aServices);

} // namespace cornelcross::routing
