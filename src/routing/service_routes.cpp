#include "routing/service_routes.hpp"

namespace cornelcross::routing {

ServiceRoutes::ServiceRoutes(const config::Configuration& aConfiguration,
                             const config::Service& aService)
  : mService(aService)
  , mNameHash(config::upstreamIdentity(aService.mName, ""))
  , mReceivers(aService,
               [&](const auto& aUpstream) { return aConfiguration.acceptsPackets(aUpstream); })
  , mEligible(aService,
              [&](const auto& aUpstream) { return aConfiguration.acceptsNewFlows(aUpstream); })
  , mIneligibleReceivers(aService,
                         [&](const auto& aUpstream) {
                           return aConfiguration.acceptsPackets(aUpstream) &&
                                  !aConfiguration.acceptsNewFlows(aUpstream) &&
                                  aUpstream.mState != config::UpstreamState::kRemoved;
                         })
  , mListed(aService, [](const auto& aUpstream) {
    return aUpstream.mState != config::UpstreamState::kRemoved;
  })
{
  for (const config::Upstream& upstream : mService.mUpstreams) {
    if (aConfiguration.acceptsPackets(upstream)) {
      const bool isListed = upstream.mState != config::UpstreamState::kRemoved;
      const bool isFirst = mZoneByAgent.insert_or_assign(upstream.mAgent, upstream.mZone).second;
      if (isFirst) {
        mReceiverAgents.push_back(upstream.mAgent);
      }
      if (isFirst && !isListed) {
        mRemovedAgents.insert(upstream.mAgent);
      }
      mUpstreamSetHash += upstream.mIdentity;
      mListedSetHash += isListed ? upstream.mIdentity : 0;
    }
    if (aConfiguration.isZoneDraining(upstream.mZone)) {
      mDrainingAgents.push_back(upstream.mAgent);
    }
    if (!aConfiguration.acceptsPackets(upstream)) {
      mAgentsOutOfService.push_back(upstream.mAgent);
      if (upstream.mState == config::UpstreamState::kRemoved) {
        mRemovedAgents.insert(upstream.mAgent);
      }
    }
  }
}

bool ServiceRoutes::isInZone(flow::Endpoint aAgent, const std::string& aZone) const
{
  const auto zone = mZoneByAgent.find(aAgent);
  return zone != mZoneByAgent.end() && zone->second == aZone;
}

bool ServiceRoutes::areInSameZone(flow::Endpoint aAgent, flow::Endpoint aOther) const
{
  const auto zone = mZoneByAgent.find(aAgent);
  return zone != mZoneByAgent.end() && isInZone(aOther, zone->second);
}

std::vector<flow::Endpoint> ServiceRoutes::candidates(std::uint64_t aFlowHash,
                                                      bool aIsNewFlow,
                                                      std::size_t aLimit) const
{
  // Reused across calls to avoid an allocation for each packet.
  thread_local std::vector<std::size_t> indices;
  indices.clear();
  if (aIsNewFlow) {
    mEligible.rank(aFlowHash, aLimit, indices);
    mIneligibleReceivers.rank(aFlowHash, aLimit - indices.size(), indices);
  } else {
    mReceivers.rank(aFlowHash, aLimit, indices);
  }
  return agentsOf(indices);
}

std::vector<flow::Endpoint> ServiceRoutes::listedAgents(std::uint64_t aHash,
                                                        std::size_t aLimit) const
{
  std::vector<std::size_t> indices;
  mListed.rank(aHash, aLimit, indices);
  return agentsOf(indices);
}

std::vector<flow::Endpoint> ServiceRoutes::agentsOf(const std::vector<std::size_t>& aIndices) const
{
  std::vector<flow::Endpoint> agents;
  agents.reserve(aIndices.size());
  for (const std::size_t index : aIndices) {
    agents.push_back(mService.mUpstreams[index].mAgent);
  }
  return agents;
}

} // namespace cornelcross::routing
