#include "routing/service_routes.hpp"

namespace cornelcross::routing {

ServiceRoutes::ServiceRoutes(const config::Configuration& aConfiguration,
                             const config::Service& aService)
  : mService(aService)
  , mIdentity(config::upstreamIdentity(aService.mName, ""))
  , mReceivers(aService,
               [&](const auto& aUpstream) { return aConfiguration.acceptsPackets(aUpstream); })
  , mOpeners(aService,
             [&](const auto& aUpstream) { return aConfiguration.acceptsNewFlows(aUpstream); })
  , mOnlyReceivers(aService, [&](const auto& aUpstream) {
    return aConfiguration.acceptsPackets(aUpstream) && !aConfiguration.acceptsNewFlows(aUpstream) &&
           aUpstream.mState != config::UpstreamState::kRemoved;
  })
{
  for (const config::Upstream& upstream : mService.mUpstreams) {
    if (aConfiguration.acceptsPackets(upstream)) {
      mZoneOfReceiver.insert_or_assign(upstream.mAgent, upstream.mZone);
      mFingerprint += upstream.mIdentity;
    }
    mAreAllOwnersReachable =
      mAreAllOwnersReachable && !aConfiguration.mayOwnFlowsWhileOut(upstream);
  }
}

bool ServiceRoutes::isInZone(flow::Endpoint aAgent, const std::string& aZone) const
{
  const auto zone = mZoneOfReceiver.find(aAgent);
  return zone != mZoneOfReceiver.end() && zone->second == aZone;
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
    agents.push_back(mService.mUpstreams[index].mAgent);
  }
  return agents;
}

} // namespace cornelcross::routing
