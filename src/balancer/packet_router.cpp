#include "balancer/packet_router.hpp"

#include "routing/candidates.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::balancer {

namespace {

/// Connection attempts of two seconds at 2,000 a second, several times what one balancer gets.
constexpr std::size_t kMaxRecentOpenings = 4096;

} // namespace

PacketRouter::PacketRouter(flow::Endpoint aSelf,
                           std::size_t aOwnerCacheCapacity,
                           flow::PacketFormat aPacketFormat,
                           bool aCanSendResets,
                           std::string aPreferredZone,
                           const HedgeSettings& aHedgeSettings)
  : mSelf(aSelf)
  , mPacketFormat(std::move(aPacketFormat))
  , mCanSendResets(aCanSendResets)
  , mPreferredZone(std::move(aPreferredZone))
  , mServiceTable(std::make_shared<const config::Configuration>())
  , mOwnerCache(aOwnerCacheCapacity)
  , mOpenings(kMaxRecentOpenings)
  , mHedgePolicy(aHedgeSettings)
{
}

void PacketRouter::apply(config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision >= revision()) {
    mServiceTable.apply(std::move(aConfiguration));
  }
}

bool PacketRouter::acceptsPackets(flow::Endpoint aAgent) const
{
  return std::any_of(mCandidateServices.begin(),
                     mCandidateServices.end(),
                     [&](const auto* aRoutes) { return aRoutes->acceptsPackets(aAgent); });
}

void PacketRouter::moveCachedOwnerFirst(const flow::FlowKey& aFlow,
                                        std::vector<flow::Endpoint>& aCandidates)
{
  const flow::Endpoint* owner = mOwnerCache.find(aFlow);
  if (owner == nullptr) {
    return;
  }
  const auto position = std::find(aCandidates.begin(), aCandidates.end(), *owner);
  if (position != aCandidates.end()) {
    std::rotate(aCandidates.begin(), position, position + 1);
  } else if (acceptsPackets(*owner)) {
    aCandidates.insert(aCandidates.begin(), *owner);
  }
}

// An upstream in the balancer's availability zone avoids traffic between zones. Placement still
// skips a candidate whose load exceeds its share.
void PacketRouter::movePreferredZoneFirst(std::vector<flow::Endpoint>& aCandidates) const
{
  if (!mPreferredZone.empty()) {
    std::stable_partition(aCandidates.begin(), aCandidates.end(), [&](flow::Endpoint aAgent) {
      return mCandidateServices.front()->isInZone(aAgent, mPreferredZone);
    });
  }
}

const flow::Endpoint* PacketRouter::cachedOwner(const flow::FlowKey& aFlow)
{
  const flow::Endpoint* owner = mOwnerCache.find(aFlow);
  return owner != nullptr && !mFailureDetector.isSuspected(*owner) && acceptsPackets(*owner)
           ? owner
           : nullptr;
}

// If upstreams return the packets of flows that they do not own, each agent can locate the owner by
// itself. The balancer then lists only the likely owner, because the list of all possible owners
// would make up most of the bytes that it sends.
void PacketRouter::addOwnerCandidates(base::Time aNow,
                                      const flow::FlowKey& aFlow,
                                      wire::Forward& aForward)
{
  const bool listsOnlyLikelyOwner = mPacketFormat.returnsPackets();
  const bool isDigestReliable = !listsOnlyLikelyOwner || configuration().mIsRetainedStateComplete;
  const std::uint64_t digest = listsOnlyLikelyOwner ? routing::listedDigest(mCandidateServices)
                                                    : routing::candidateDigest(mCandidateServices);
  aForward.mCandidateDigest = isDigestReliable ? digest : 0;
  aForward.mPage = listsOnlyLikelyOwner ? wire::kNoPage : std::uint16_t{ 0 };
  if (const auto* owner = listsOnlyLikelyOwner ? cachedOwner(aFlow) : nullptr) {
    aForward.mCandidates = { *owner };
    return;
  }
  routing::OwnerCandidates page = routing::ownerCandidates(mCandidateServices, aFlow, 0);
  aForward.mCandidates = std::move(page.mAgents);
  movePreferredZoneFirst(aForward.mCandidates);
  moveCachedOwnerFirst(aFlow, aForward.mCandidates);
  moveSuspectsLast(aNow, aForward.mCandidates);
  if (listsOnlyLikelyOwner) {
    aForward.mCandidates.resize(std::min<std::size_t>(aForward.mCandidates.size(), 1));
    aForward.mHops = 1; // the agent is assumed by its rank
    return;
  }
  aForward.mIsLastPage = page.mIsLastPage;
}

void PacketRouter::moveSuspectsLast(base::Time aNow, std::vector<flow::Endpoint>& aCandidates)
{
  const std::size_t suspectCount = mFailureDetector.moveSuspectsLast(aCandidates, 0);
  // A suspect that would otherwise be a candidate counts as in use, so that probing continues.
  for (std::size_t i = aCandidates.size() - suspectCount; i < aCandidates.size(); ++i) {
    mFailureDetector.recordUse(aNow, aCandidates[i]);
  }
}

wire::Forward PacketRouter::makeForward(base::Time aNow, const flow::TcpPacket& aPacket)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  const routing::ServiceRoutes& service = *mCandidateServices.front();
  wire::Forward forward;
  if (!aPacket.isInitialSyn()) {
    forward.mService = mCandidateServices.size() == 1 ? service.nameHash() : 0;
    addOwnerCandidates(aNow, key, forward);
    return forward;
  }
  forward.mService = service.nameHash();
  forward.mCandidates = routing::newFlowCandidates(service, key, 0);
  forward.mIsLastPage = routing::isLastNewFlowPage(service, 0);
  movePreferredZoneFirst(forward.mCandidates);
  moveCachedOwnerFirst(key, forward.mCandidates);
  if (mHedgePolicy.isEnabled() && configuration().requestClassOf(aPacket.mDestination) != nullptr) {
    forward.mIsListFromAgent = true; // makes the agent that admits the flow send an owner update
    moveTriedLast(aNow, aPacket, forward.mCandidates);
  }
  moveSuspectsLast(aNow, forward.mCandidates);
  return forward;
}

// Only a SYN is refused. Other packets are dropped, because this balancer's configuration may be
// older than that of the balancer through which the flow was opened.
Action PacketRouter::refuse(const flow::TcpPacket& aPacket, DropReason aReason) const
{
  if (!mCanSendResets || !aPacket.isInitialSyn()) {
    return DropPacket{ aReason };
  }
  return RefuseFlow{ aPacket.keyFromCaller(), mPacketFormat.mMakeReset(aPacket), aReason };
}

Action PacketRouter::route(base::Time aNow, std::span<const std::byte> aPacket)
{
  const auto packet = mPacketFormat.mParse(aPacket);
  if (!packet) {
    return DropPacket{ DropReason::kMalformed };
  }
  mCandidateServices.clear();
  const std::uint64_t hash = packet->keyFromCaller().hash();
  if (!packet->isInitialSyn()) {
    // The weights of the services may have been different when the flow was opened.
    mServiceTable.servicesForEstablishedFlow(packet->mDestination, hash, mCandidateServices);
  } else if (const auto* service = mServiceTable.selectService(packet->mDestination, hash)) {
    mCandidateServices.push_back(service);
  }
  if (mCandidateServices.empty()) {
    return refuse(*packet, DropReason::kNoService);
  }
  if (packet->isInitialSyn() && mCanSendResets &&
      mCandidateServices.front()->eligibleCount() == 0) {
    return refuse(*packet, DropReason::kNoUpstream);
  }
  wire::Forward forward = makeForward(aNow, *packet);
  if (forward.mCandidates.empty()) {
    return refuse(*packet, DropReason::kNoUpstream);
  }
  forward.mIngress = mSelf;
  const flow::Endpoint target = forward.mCandidates.front();
  mFailureDetector.recordUse(aNow, target);
  if (packet->isInitialSyn()) {
    recordOpening(aNow, *packet, aPacket, target);
  }
  return SendForward{ target, std::move(forward), packet->isInitialSyn() };
}

void PacketRouter::onOwnerUpdate(base::Time aNow, const wire::OwnerUpdate& aUpdate)
{
  mFailureDetector.recordReply(aNow, aUpdate.mOwner);
  mOwnerCache.store(aUpdate.mFlow, aUpdate.mOwner);
  const auto admission = mOpenings.recordAdmission(aNow, aUpdate.mFlow, aUpdate.mOwner);
  if (!admission) {
    return;
  }
  mHedgePolicy.recordAdmission(admission->mService, admission->mDelay);
  mHedgesWon += admission->mIsByHedge ? 1 : 0;
  mHedgesLost += admission->mIsHedged && !admission->mIsByHedge ? 1 : 0;
}

} // namespace cornelcross::balancer
