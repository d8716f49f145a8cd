#include "balancer/decisions.hpp"

#include <algorithm>

namespace cornelcross::balancer {

Decisions::Decisions(flow::Endpoint aSelf, std::size_t aCacheCapacity)
  : mSelf(aSelf), mTable(std::make_shared<const config::Configuration>()), mOwners(aCacheCapacity)
{
}

void Decisions::apply(config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision >= revision()) {
    mTable = routing::ServiceTable(std::move(aConfiguration));
  }
}

std::vector<flow::Endpoint> Decisions::candidates(const routing::ServiceRoutes& aRoutes,
                                                  const flow::FlowKey& aFlow,
                                                  bool aOpensFlow)
{
  auto agents = aRoutes.candidates(aFlow.hash(), aOpensFlow, wire::kMaxCandidates);
  const flow::Endpoint* owner = mOwners.find(aFlow);
  if (owner != nullptr) {
    const auto found = std::find(agents.begin(), agents.end(), *owner);
    if (found != agents.end()) {
      std::rotate(agents.begin(), found, found + 1);
    }
  }
  return agents;
}

Action Decisions::decide(base::Time, std::span<const std::byte> aPacket)
{
  const auto packet = flow::TcpPacket::parse(aPacket);
  if (!packet) {
    return DropPacket{ DropReason::kMalformed };
  }
  const routing::ServiceRoutes* routes = mTable.find(packet->mDestination);
  if (routes == nullptr) {
    return DropPacket{ DropReason::kNoService };
  }
  wire::Forward forward;
  forward.mCandidates = candidates(*routes, packet->keyFromCaller(), packet->opensFlow());
  if (forward.mCandidates.empty()) {
    return DropPacket{ DropReason::kNoUpstream };
  }
  forward.mIsComplete = forward.mCandidates.size() == routes->receivers();
  forward.mIngress = mSelf;
  forward.mService = routes->identity();
  const flow::Endpoint first = forward.mCandidates.front();
  return SendForward{ first, std::move(forward) };
}

void Decisions::learn(base::Time, const wire::OwnerNotice& aNotice)
{
  mOwners.store(aNotice.mFlow, aNotice.mOwner);
}

} // namespace cornelcross::balancer
