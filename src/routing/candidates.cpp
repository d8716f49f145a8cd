#include "routing/candidates.hpp"

#include <algorithm>

namespace cornelcross::routing {

std::vector<flow::Endpoint> chunkOf(const ServiceRoutes& aRoutes,
                                    const flow::FlowKey& aFlow,
                                    bool aOpensFlow,
                                    std::size_t aChunk)
{
  auto agents = aRoutes.candidates(aFlow.hash(), aOpensFlow, (aChunk + 1) * kChunk);
  const std::size_t first = std::min(aChunk * kChunk, agents.size());
  agents.erase(agents.begin(), agents.begin() + static_cast<std::ptrdiff_t>(first));
  return agents;
}

} // namespace cornelcross::routing
