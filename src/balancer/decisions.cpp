#include "balancer/decisions.hpp"

#include "routing/candidates.hpp"

#include <algorithm>

namespace cornelcross::balancer {

Decisions::Decisions(flow::Endpoint aSelf, std::size_t aCacheCapacity)
  : mSelf(aSelf), mTable(std::make_shared<const config::Configuration>()), mOwners(aCacheCapacity)
{
}

void Decisions::apply(config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision >= revision()) {
    mTable.apply(std::move(aConfiguration));
  }
}

void Decisions::preferOwner(const flow::FlowKey& aFlow,
                            const routing::ServiceRoutes& aRoutes,
                            std::vector<flow::Endpoint>& aCandidates)
{
  const flow::Endpoint* owner = mOwners.find(aFlow);
  if (owner == nullptr) {
    return;
  }
  const auto found = std::find(aCandidates.begin(), aCandidates.end(), *owner);
  if (found != aCandidates.end()) {
    std::rotate(aCandidates.begin(), found, found + 1);
  } else if (aRoutes.mayReceive(*owner)) {
    aCandidates.insert(aCandidates.begin(), *owner);
  }
}

wire::Forward Decisions::address(base::Time aNow,
                                 const routing::ServiceRoutes& aRoutes,
                                 const flow::TcpPacket& aPacket)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  wire::Forward forward;
  forward.mCandidates = routing::chunkOf(aRoutes, key, aPacket.opensFlow(), 0);
  forward.mIsComplete = routing::isLastChunk(aRoutes, 0);
  preferOwner(key, aRoutes, forward.mCandidates);
  const std::size_t suspects = mPeers.deferSuspects(forward.mCandidates, 0);
  // A suspect that would have been asked stays in use, so that it goes on being probed.
  for (std::size_t i = forward.mCandidates.size() - suspects; i < forward.mCandidates.size(); ++i) {
    mPeers.noteUse(aNow, forward.mCandidates[i]);
  }
  return forward;
}

Action Decisions::decide(base::Time aNow, std::span<const std::byte> aPacket)
{
  const auto packet = flow::TcpPacket::parse(aPacket);
  if (!packet) {
    return DropPacket{ DropReason::kMalformed };
  }
  const routing::ServiceRoutes* routes = mTable.find(packet->mDestination);
  if (routes == nullptr) {
    return DropPacket{ DropReason::kNoService };
  }
  wire::Forward forward = address(aNow, *routes, *packet);
  if (forward.mCandidates.empty()) {
    return DropPacket{ DropReason::kNoUpstream };
  }
  forward.mIngress = mSelf;
  forward.mService = routes->identity();
  const flow::Endpoint first = forward.mCandidates.front();
  mPeers.noteUse(aNow, first);
  return SendForward{ first, std::move(forward) };
}

void Decisions::learn(base::Time aNow, const wire::OwnerNotice& aNotice)
{
  mPeers.noteAlive(aNow, aNotice.mOwner);
  mOwners.store(aNotice.mFlow, aNotice.mOwner);
}

} // namespace cornelcross::balancer
