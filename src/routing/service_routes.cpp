#include "routing/service_routes.hpp"

namespace cornelcross::routing {

ServiceRoutes::ServiceRoutes(const config::Configuration& aConfiguration,
                             const config::Service& aService)
  : mConfiguration(&aConfiguration)
  , mService(&aService)
  , mIdentity(config::upstreamIdentity(aService.mName, ""))
  , mReceivers(aService,
               [&](const auto& aUpstream) { return aConfiguration.mayReceive(aUpstream); })
  , mOpeners(aService, [&](const auto& aUpstream) { return aConfiguration.mayOpen(aUpstream); })
  , mOnlyReceivers(aService, [&](const auto& aUpstream) {
    return aConfiguration.mayReceive(aUpstream) && !aConfiguration.mayOpen(aUpstream);
  })
{
}

bool ServiceRoutes::mayReceive(flow::Endpoint aAgent) const
{
  for (const auto& upstream : mService->mUpstreams) {
    if (upstream.mAgent == aAgent) {
      return mConfiguration->mayReceive(upstream);
    }
  }
  return false;
}

std::vector<flow::Endpoint> ServiceRoutes::candidates(std::uint64_t aFlowHash,
                                                      bool aOpensFlow,
                                                      std::size_t aLimit) const
{
  // Kept between calls to save an allocation for each packet.
  thread_local std::vector<std::size_t> order;
  order.clear();
  if (aOpensFlow) {
    mOpeners.rank(aFlowHash, aLimit, order);
    mOnlyReceivers.rank(aFlowHash, aLimit - order.size(), order);
  } else {
    mReceivers.rank(aFlowHash, aLimit, order);
  }
  std::vector<flow::Endpoint> agents;
  agents.reserve(order.size());
  for (const std::size_t index : order) {
    agents.push_back(mService->mUpstreams[index].mAgent);
  }
  return agents;
}

} // namespace cornelcross::routing
