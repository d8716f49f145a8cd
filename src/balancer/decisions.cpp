#include "balancer/decisions.hpp"

#include "routing/candidates.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::balancer {

Decisions::Decisions(flow::Endpoint aSelf,
                     std::size_t aCacheCapacity,
                     flow::PacketFormat aFormat,
                     bool aMayRefuse)
  : mSelf(aSelf)
  , mFormat(std::move(aFormat))
  , mMayRefuse(aMayRefuse)
  , mTable(std::make_shared<const config::Configuration>())
  , mOwners(aCacheCapacity)
{
}

void Decisions::apply(config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision >= revision()) {
    mTable.apply(std::move(aConfiguration));
  }
}

bool Decisions::mayReceive(flow::Endpoint aAgent) const
{
  return std::any_of(mServices.begin(), mServices.end(), [&](const auto* aRoutes) {
    return aRoutes->mayReceive(aAgent);
  });
}

void Decisions::preferOwner(const flow::FlowKey& aFlow, std::vector<flow::Endpoint>& aCandidates)
{
  const flow::Endpoint* owner = mOwners.find(aFlow);
  if (owner == nullptr) {
    return;
  }
  const auto found = std::find(aCandidates.begin(), aCandidates.end(), *owner);
  if (found != aCandidates.end()) {
    std::rotate(aCandidates.begin(), found, found + 1);
  } else if (mayReceive(*owner)) {
    aCandidates.insert(aCandidates.begin(), *owner);
  }
}

wire::Forward Decisions::address(base::Time aNow, const flow::TcpPacket& aPacket)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  wire::Forward forward;
  const routing::ServiceRoutes& chosen = *mServices.front();
  if (aPacket.opensFlow()) {
    forward.mCandidates = routing::openingChunk(chosen, key, 0);
    forward.mIsComplete = routing::isLastOpeningChunk(chosen, 0);
  } else {
    forward.mCandidates = routing::owningChunk(mServices, key, 0);
    forward.mIsComplete = routing::isLastOwningChunk(mServices, 0);
    forward.mListing = routing::listing(mServices);
  }
  const bool isOfChosen = aPacket.opensFlow() || mServices.size() == 1;
  forward.mService = isOfChosen ? chosen.identity() : 0;
  preferOwner(key, forward.mCandidates);
  const std::size_t suspects = mPeers.deferSuspects(forward.mCandidates, 0);
  // A suspect that would have been asked stays in use, so that it goes on being probed.
  for (std::size_t i = forward.mCandidates.size() - suspects; i < forward.mCandidates.size(); ++i) {
    mPeers.noteUse(aNow, forward.mCandidates[i]);
  }
  return forward;
}

// Only a SYN is refused: this balancer may be behind the one that let the flow open.
Action Decisions::refuse(const flow::TcpPacket& aPacket, DropReason aReason) const
{
  if (!mMayRefuse || !aPacket.opensFlow()) {
    return DropPacket{ aReason };
  }
  return RefuseFlow{ aPacket.keyFromCaller(), mFormat.mMakeReset(aPacket), aReason };
}

Action Decisions::decide(base::Time aNow, std::span<const std::byte> aPacket)
{
  const auto packet = mFormat.mParse(aPacket);
  if (!packet) {
    return DropPacket{ DropReason::kMalformed };
  }
  mServices.clear();
  const std::uint64_t hash = packet->keyFromCaller().hash();
  if (!packet->opensFlow()) {
    // The shares may have been others when the flow was opened.
    mTable.owners(packet->mDestination, hash, mServices);
  } else if (const auto* chosen = mTable.find(packet->mDestination, hash)) {
    mServices.push_back(chosen);
  }
  if (mServices.empty()) {
    return refuse(*packet, DropReason::kNoService);
  }
  if (packet->opensFlow() && mMayRefuse && mServices.front()->openers() == 0) {
    return refuse(*packet, DropReason::kNoUpstream);
  }
  wire::Forward forward = address(aNow, *packet);
  if (forward.mCandidates.empty()) {
    return refuse(*packet, DropReason::kNoUpstream);
  }
  forward.mIngress = mSelf;
  const flow::Endpoint first = forward.mCandidates.front();
  mPeers.noteUse(aNow, first);
  return SendForward{ first, std::move(forward), packet->opensFlow() };
}

void Decisions::learn(base::Time aNow, const wire::OwnerNotice& aNotice)
{
  mPeers.noteAlive(aNow, aNotice.mOwner);
  mOwners.store(aNotice.mFlow, aNotice.mOwner);
}

} // namespace cornelcross::balancer
