#include "balancer/decisions.hpp"

#include "config/upstream.hpp"
#include "routing/rendezvous.hpp"

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

std::vector<flow::Endpoint> Decisions::candidates(const config::Service& aService,
                                                  const flow::FlowKey& aFlow,
                                                  bool aOpensFlow)
{
  const config::Configuration& configuration = mTable.configuration();
  std::vector<flow::Endpoint> agents;
  std::vector<flow::Endpoint> ineligible;
  for (const std::size_t index :
       routing::rank(aService, aFlow.hash(), aService.mUpstreams.size())) {
    const config::Upstream& upstream = aService.mUpstreams[index];
    if (!configuration.mayReceive(upstream)) {
      continue;
    }
    // A new flow goes to eligible upstreams first; the others are asked only whether they own it.
    const bool isFirstChoice = !aOpensFlow || configuration.mayOpen(upstream);
    (isFirstChoice ? agents : ineligible).push_back(upstream.mAgent);
  }
  agents.insert(agents.end(), ineligible.begin(), ineligible.end());
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
  const config::Service* service = mTable.find(packet->mDestination);
  if (service == nullptr) {
    return DropPacket{ DropReason::kNoService };
  }
  wire::Forward forward;
  forward.mCandidates = candidates(*service, packet->keyFromCaller(), packet->opensFlow());
  if (forward.mCandidates.empty()) {
    return DropPacket{ DropReason::kNoUpstream };
  }
  forward.mIsComplete = forward.mCandidates.size() <= wire::kMaxCandidates;
  if (!forward.mIsComplete) {
    forward.mCandidates.resize(wire::kMaxCandidates);
  }
  forward.mIngress = mSelf;
  forward.mService = config::upstreamIdentity(service->mName, "");
  forward.mPacket.assign(aPacket.begin(), aPacket.end());
  const flow::Endpoint first = forward.mCandidates.front();
  return SendForward{ first, std::move(forward) };
}

void Decisions::learn(base::Time, const wire::OwnerNotice& aNotice)
{
  mOwners.store(aNotice.mFlow, aNotice.mOwner);
}

} // namespace cornelcross::balancer
