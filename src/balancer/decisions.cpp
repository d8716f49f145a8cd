#include "balancer/decisions.hpp"

#include "routing/candidates.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::balancer {

Decisions::Decisions(flow::Endpoint aSelf,
                     std::size_t aCacheCapacity,
                     flow::PacketFormat aFormat,
                     bool aMayRefuse,
                     std::string aZone)
  : mSelf(aSelf)
  , mFormat(std::move(aFormat))
  , mMayRefuse(aMayRefuse)
  , mZone(std::move(aZone))
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

// An upstream beside its balancer saves callers a way between zones. The agents' walk still passes
// over one that has more than its share of the load.
void Decisions::preferZone(std::vector<flow::Endpoint>& aCandidates) const
{
  if (!mZone.empty()) {
    std::stable_partition(aCandidates.begin(), aCandidates.end(), [&](flow::Endpoint aAgent) {
      return mServices.front()->isInZone(aAgent, mZone);
    });
  }
}

const flow::Endpoint* Decisions::rememberedOwner(const flow::FlowKey& aFlow)
{
  const flow::Endpoint* owner = mOwners.find(aFlow);
  return owner != nullptr && !mPeers.isSuspected(*owner) && mayReceive(*owner) ? owner : nullptr;
}

// Where upstreams hand back what they don't hold, each agent can find the owner by itself: the list
// of all that may be it would be most of what is sent.
void Decisions::listOwners(base::Time aNow, const flow::FlowKey& aFlow, wire::Forward& aForward)
{
  const bool isAlone = mFormat.returnsPackets();
  const bool isCertain = !isAlone || configuration().mIsHistoryComplete;
  aForward.mListing = isCertain ? routing::listing(mServices) : 0;
  aForward.mChunk = isAlone ? wire::kNoChunk : std::uint16_t{ 0 };
  if (const auto* owner = isAlone ? rememberedOwner(aFlow) : nullptr) {
    aForward.mCandidates = { *owner };
    return;
  }
  routing::OwningChunk chunk = routing::owningChunk(mServices, aFlow, 0);
  aForward.mCandidates = std::move(chunk.mAgents);
  preferZone(aForward.mCandidates);
  preferOwner(aFlow, aForward.mCandidates);
  deferSuspects(aNow, aForward.mCandidates);
  if (isAlone) {
    aForward.mCandidates.resize(std::min<std::size_t>(aForward.mCandidates.size(), 1));
    return;
  }
  aForward.mIsComplete = chunk.mIsLast;
}

void Decisions::deferSuspects(base::Time aNow, std::vector<flow::Endpoint>& aCandidates)
{
  const std::size_t suspects = mPeers.deferSuspects(aCandidates, 0);
  // A suspect that would have been asked stays in use, so that it goes on being probed.
  for (std::size_t i = aCandidates.size() - suspects; i < aCandidates.size(); ++i) {
    mPeers.noteUse(aNow, aCandidates[i]);
  }
}

wire::Forward Decisions::address(base::Time aNow, const flow::TcpPacket& aPacket)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  const routing::ServiceRoutes& chosen = *mServices.front();
  wire::Forward forward;
  if (!aPacket.opensFlow()) {
    forward.mService = mServices.size() == 1 ? chosen.identity() : 0;
    listOwners(aNow, key, forward);
    return forward;
  }
  forward.mService = chosen.identity();
  forward.mCandidates = routing::openingChunk(chosen, key, 0);
  forward.mIsComplete = routing::isLastOpeningChunk(chosen, 0);
  preferZone(forward.mCandidates);
  preferOwner(key, forward.mCandidates);
  deferSuspects(aNow, forward.mCandidates);
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
