#include "balancer/packet_router.hpp"

#include "routing/candidates.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::balancer {

PacketRouter::PacketRouter(flow::Endpoint aSelf,
                           std::size_t aCacheCapacity,
                           flow::PacketFormat aPacketFormat,
                           bool aMayRefuse,
                           std::string aZone)
  : mSelf(aSelf)
  , mPacketFormat(std::move(aPacketFormat))
  , mMayRefuse(aMayRefuse)
  , mZone(std::move(aZone))
  , mTable(std::make_shared<const config::Configuration>())
  , mOwners(aCacheCapacity)
{
}

void PacketRouter::apply(config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision >= revision()) {
    mTable.apply(std::move(aConfiguration));
  }
}

bool PacketRouter::acceptsPackets(flow::Endpoint aAgent) const
{
  return std::any_of(mServices.begin(), mServices.end(), [&](const auto* aRoutes) {
    return aRoutes->acceptsPackets(aAgent);
  });
}

void PacketRouter::preferOwner(const flow::FlowKey& aFlow, std::vector<flow::Endpoint>& aCandidates)
{
  const flow::Endpoint* owner = mOwners.find(aFlow);
  if (owner == nullptr) {
    return;
  }
  const auto found = std::find(aCandidates.begin(), aCandidates.end(), *owner);
  if (found != aCandidates.end()) {
    std::rotate(aCandidates.begin(), found, found + 1);
  } else if (acceptsPackets(*owner)) {
    aCandidates.insert(aCandidates.begin(), *owner);
  }
}

// An upstream beside its balancer saves callers a way between zones. The agents' walk still passes
// over one that has more than its share of the load.
void PacketRouter::preferZone(std::vector<flow::Endpoint>& aCandidates) const
{
  if (!mZone.empty()) {
    std::stable_partition(aCandidates.begin(), aCandidates.end(), [&](flow::Endpoint aAgent) {
      return mServices.front()->isInZone(aAgent, mZone);
    });
  }
}

const flow::Endpoint* PacketRouter::rememberedOwner(const flow::FlowKey& aFlow)
{
  const flow::Endpoint* owner = mOwners.find(aFlow);
  return owner != nullptr && !mFailureDetector.isSuspected(*owner) && acceptsPackets(*owner)
           ? owner
           : nullptr;
}

// Where upstreams hand back what they don't hold, each agent can find the owner by itself: the list
// of all that may be it would be most of what is sent.
void PacketRouter::listOwners(base::Time aNow, const flow::FlowKey& aFlow, wire::Forward& aForward)
{
  const bool isAlone = mPacketFormat.returnsPackets();
  const bool isCertain = !isAlone || configuration().mIsRetainedStateComplete;
  aForward.mCandidateDigest = isCertain ? routing::candidateDigest(mServices) : 0;
  aForward.mPage = isAlone ? wire::kNoPage : std::uint16_t{ 0 };
  if (const auto* owner = isAlone ? rememberedOwner(aFlow) : nullptr) {
    aForward.mCandidates = { *owner };
    return;
  }
  routing::OwnerCandidates chunk = routing::ownerCandidates(mServices, aFlow, 0);
  aForward.mCandidates = std::move(chunk.mAgents);
  preferZone(aForward.mCandidates);
  preferOwner(aFlow, aForward.mCandidates);
  moveSuspectsLast(aNow, aForward.mCandidates);
  if (isAlone) {
    aForward.mCandidates.resize(std::min<std::size_t>(aForward.mCandidates.size(), 1));
    return;
  }
  aForward.mIsLastPage = chunk.mIsLast;
}

void PacketRouter::moveSuspectsLast(base::Time aNow, std::vector<flow::Endpoint>& aCandidates)
{
  const std::size_t suspects = mFailureDetector.moveSuspectsLast(aCandidates, 0);
  // A suspect that would have been asked stays in use, so that it goes on being probed.
  for (std::size_t i = aCandidates.size() - suspects; i < aCandidates.size(); ++i) {
    mFailureDetector.recordUse(aNow, aCandidates[i]);
  }
}

wire::Forward PacketRouter::address(base::Time aNow, const flow::TcpPacket& aPacket)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  const routing::ServiceRoutes& chosen = *mServices.front();
  wire::Forward forward;
  if (!aPacket.isInitialSyn()) {
    forward.mService = mServices.size() == 1 ? chosen.nameHash() : 0;
    listOwners(aNow, key, forward);
    return forward;
  }
  forward.mService = chosen.nameHash();
  forward.mCandidates = routing::newFlowCandidates(chosen, key, 0);
  forward.mIsLastPage = routing::isLastNewFlowPage(chosen, 0);
  preferZone(forward.mCandidates);
  preferOwner(key, forward.mCandidates);
  moveSuspectsLast(aNow, forward.mCandidates);
  return forward;
}

// Only a SYN is refused: this balancer may be behind the one that let the flow open.
Action PacketRouter::refuse(const flow::TcpPacket& aPacket, DropReason aReason) const
{
  if (!mMayRefuse || !aPacket.isInitialSyn()) {
    return DropPacket{ aReason };
  }
  return RefuseFlow{ aPacket.keyFromCaller(), mPacketFormat.mMakeReset(aPacket), aReason };
}

Action PacketRouter::decide(base::Time aNow, std::span<const std::byte> aPacket)
{
  const auto packet = mPacketFormat.mParse(aPacket);
  if (!packet) {
    return DropPacket{ DropReason::kMalformed };
  }
  mServices.clear();
  const std::uint64_t hash = packet->keyFromCaller().hash();
  if (!packet->isInitialSyn()) {
    // The shares may have been others when the flow was opened.
    mTable.servicesForEstablishedFlow(packet->mDestination, hash, mServices);
  } else if (const auto* chosen = mTable.selectService(packet->mDestination, hash)) {
    mServices.push_back(chosen);
  }
  if (mServices.empty()) {
    return refuse(*packet, DropReason::kNoService);
  }
  if (packet->isInitialSyn() && mMayRefuse && mServices.front()->eligibleCount() == 0) {
    return refuse(*packet, DropReason::kNoUpstream);
  }
  wire::Forward forward = address(aNow, *packet);
  if (forward.mCandidates.empty()) {
    return refuse(*packet, DropReason::kNoUpstream);
  }
  forward.mIngress = mSelf;
  const flow::Endpoint first = forward.mCandidates.front();
  mFailureDetector.recordUse(aNow, first);
  return SendForward{ first, std::move(forward), packet->isInitialSyn() };
}

void PacketRouter::onOwnerUpdate(base::Time aNow, const wire::OwnerUpdate& aNotice)
{
  mFailureDetector.recordReply(aNow, aNotice.mOwner);
  mOwners.store(aNotice.mFlow, aNotice.mOwner);
}

} // namespace cornelcross::balancer
