#pragma once

#include "flow/flow_key.hpp"
#include "routing/service_routes.hpp"

namespace cornelcross::routing {

/// @brief Candidates of one Forward, apart from the remembered owner that may precede them.
inline constexpr std::size_t kChunk = 15;

/// @brief Agents that may own a flow, in the order in which they are asked, from rank
/// aChunk * kChunk on, at most kChunk of them: the same on every process at the same revision.
std::vector<flow::Endpoint> chunkOf(const ServiceRoutes& aRoutes,
                                    const flow::FlowKey& aFlow,
                                    bool aOpensFlow,
                                    std::size_t aChunk);

/// @brief True if no chunk follows aChunk.
inline bool isLastChunk(const ServiceRoutes& aRoutes, std::size_t aChunk)
{
  return (aChunk + 1) * kChunk >= aRoutes.receivers();
}

} // namespace cornelcross::routing
