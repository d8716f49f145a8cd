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

// An established flow of an address with several services may belong to any of them: the shares may
// have been others when it was opened.
void Decisions::addOthers(const flow::TcpPacket& aPacket, wire::Forward& aForward)
{
  for (std::size_t i = 1; i < mServices.size(); ++i) {
    aForward.mService = 0;
    const auto more = routing::chunkOf(*mServices[i], aPacket.keyFromCaller(), false, 0);
    const std::size_t room =
      routing::kChunk - std::min(routing::kChunk, aForward.mCandidates.size());
    const std::size_t taken = std::min(room, more.size());
    aForward.mCandidates.insert(aForward.mCandidates.end(), more.begin(), more.begin() + taken);
    aForward.mIsComplete =
      aForward.mIsComplete && taken == more.size() && routing::isLastChunk(*mServices[i], 0);
  }
}

wire::Forward Decisions::address(base::Time aNow, const flow::TcpPacket& aPacket)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  wire::Forward forward;
  forward.mService = mServices.front()->identity();
  forward.mCandidates = routing::chunkOf(*mServices.front(), key, aPacket.opensFlow(), 0);
  forward.mIsComplete = routing::isLastChunk(*mServices.front(), 0);
  if (!aPacket.opensFlow()) {
    addOthers(aPacket, forward);
  }
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
  const auto* chosen = mTable.find(packet->mDestination, packet->keyFromCaller().hash());
  if (chosen != nullptr) {
    mServices.push_back(chosen);
  }
  mTable.others(packet->mDestination, chosen, mServices);
  if (mServices.empty() || (chosen == nullptr && packet->opensFlow())) {
    return refuse(*packet, DropReason::kNoService);
  }
  if (packet->opensFlow() && mMayRefuse && chosen->openers() == 0) {
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
