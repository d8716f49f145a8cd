#include "routing/candidates.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>

namespace cornelcross::routing {

std::vector<flow::Endpoint> candidates(const config::Configuration& aConfiguration,
                                       const config::Service& aService,
                                       const flow::FlowKey& aFlow,
                                       bool aOpensFlow)
{
  std::vector<flow::Endpoint> agents;
  std::vector<flow::Endpoint> ineligible;
  for (const std::size_t index : rank(aService, aFlow.hash(), aService.mUpstreams.size())) {
    const config::Upstream& upstream = aService.mUpstreams[index];
    if (!aConfiguration.mayReceive(upstream)) {
      continue;
    }
    const bool isFirstChoice = !aOpensFlow || aConfiguration.mayOpen(upstream);
    (isFirstChoice ? agents : ineligible).push_back(upstream.mAgent);
  }
  agents.insert(agents.end(), ineligible.begin(), ineligible.end());
  return agents;
}

std::vector<flow::Endpoint> chunkOf(const std::vector<flow::Endpoint>& aCandidates,
                                    std::size_t aChunk)
{
  const std::size_t first = std::min(aChunk * kChunk, aCandidates.size());
  const std::size_t last = std::min(first + kChunk, aCandidates.size());
  return { aCandidates.begin() + static_cast<std::ptrdiff_t>(first),
           aCandidates.begin() + static_cast<std::ptrdiff_t>(last) };
}

} // namespace cornelcross::routing
