#pragma once

#include "config/configuration.hpp"
#include "flow/flow_key.hpp"

namespace cornelcross::routing {

/// @brief Candidates of one Forward, apart from the remembered owner that may precede them.
inline constexpr std::size_t kChunk = 15;

/// @brief Agents that may own a flow, in the order in which they are asked: the same on every
/// process at the same revision.
/// @param aOpensFlow new flows go to upstreams that take them first; the others are asked only
///                   whether they own it
/// @note O(n log n) for n upstreams of the service
std::vector<flow::Endpoint> candidates(const config::Configuration& aConfiguration,
                                       const config::Service& aService,
                                       const flow::FlowKey& aFlow,
                                       bool aOpensFlow);

/// @brief The chunk with index aChunk of a list of candidates; empty beyond its end.
std::vector<flow::Endpoint> chunkOf(const std::vector<flow::Endpoint>& aCandidates,
                                    std::size_t aChunk);

/// @brief True if no chunk follows aChunk.
inline bool isLastChunk(const std::vector<flow::Endpoint>& aCandidates, std::size_t aChunk)
{
  return (aChunk + 1) * kChunk >= aCandidates.size();
}

} // namespace cornelcross::routing
