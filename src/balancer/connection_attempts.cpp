#include "balancer/packet_router.hpp"
#include "routing/candidates.hpp"

#include <algorithm>

// Members of PacketRouter that handle retransmitted SYNs and hedged connection attempts.
namespace cornelcross::balancer {

namespace {

/// Bounds the memory; further attempts are not hedged.
constexpr std::size_t kMaxPendingHedges = 4096;

bool contains(const std::vector<flow::Endpoint>& aAgents, flow::Endpoint aAgent)
{
  return std::find(aAgents.begin(), aAgents.end(), aAgent) != aAgents.end();
}

} // namespace

// A caller retransmits a SYN that was lost on its way or that reached an agent that has just died.
// By the same order of candidates, each copy would reach the same agent until it is suspected.
void PacketRouter::moveTriedLast(base::Time aNow,
                                 const flow::TcpPacket& aPacket,
                                 std::vector<flow::Endpoint>& aCandidates)
{
  const auto* opening = mOpenings.find(aNow, aPacket.keyFromCaller(), aPacket.mSequence);
  if (opening == nullptr || opening->mIsAdmitted) {
    return;
  }
  recordLate(aPacket.keyFromCaller(), opening->mService);
  if (mHedgePolicy.mayRedirect(opening->mService)) {
    std::stable_partition(aCandidates.begin(), aCandidates.end(), [&](flow::Endpoint aAgent) {
      return !contains(opening->mTried, aAgent);
    });
  }
}

void PacketRouter::recordLate(const flow::FlowKey& aFlow, std::uint64_t aService)
{
  if (mOpenings.markLate(aFlow)) {
    mHedgePolicy.recordLate(aService);
  }
}

void PacketRouter::recordOpening(base::Time aNow,
                                 const flow::TcpPacket& aPacket,
                                 std::span<const std::byte> aBytes,
                                 flow::Endpoint aAgent)
{
  const auto* requests = configuration().requestClassOf(aPacket.mDestination);
  if (requests == nullptr || !mHedgePolicy.isEnabled()) {
    return;
  }
  const std::uint64_t service = mCandidateServices.front()->nameHash();
  const bool isNew =
    mOpenings.record(aNow, service, aPacket.keyFromCaller(), aPacket.mSequence, aAgent);
  if (!isNew || !requests->mIsRepeatable) {
    return;
  }
  mHedgePolicy.recordOpening(aNow);
  if (mPendingHedges.size() < kMaxPendingHedges) {
    mPendingHedges.emplace(aNow + mHedgePolicy.delay(service),
                           flow::Bytes(aBytes.begin(), aBytes.end()));
  }
}

std::vector<SendForward> PacketRouter::hedgedAttempts(base::Time aNow)
{
  std::vector<SendForward> hedges;
  while (!mPendingHedges.empty() && mPendingHedges.begin()->first <= aNow) {
    const flow::Bytes packet = std::move(mPendingHedges.begin()->second);
    mPendingHedges.erase(mPendingHedges.begin());
    if (auto hedge = makeHedge(aNow, packet)) {
      hedges.push_back(std::move(*hedge));
    }
  }
  return hedges;
}

std::optional<SendForward> PacketRouter::makeHedge(base::Time aNow, const flow::Bytes& aPacket)
{
  const auto packet = mPacketFormat.mParse(aPacket);
  const flow::FlowKey flow = packet->keyFromCaller();
  const auto* opening = mOpenings.find(aNow, flow, packet->mSequence);
  if (opening == nullptr || opening->mIsAdmitted) {
    return std::nullopt;
  }
  recordLate(flow, opening->mService);
  const auto agent = selectHedgeAgent(aNow, flow, opening->mTried);
  if (!agent || mHedgePolicy.decide(aNow, opening->mService) != HedgeDecision::kSend) {
    return std::nullopt;
  }
  wire::Forward forward;
  forward.mIngress = mSelf;
  forward.mService = opening->mService;
  forward.mIsListFromAgent = true;
  forward.mIsLastPage = true;
  forward.mIsCopy = true;
  forward.mCandidates = { *agent };
  mOpenings.recordHedge(flow, *agent);
  mFailureDetector.recordUse(aNow, *agent);
  forward.mPacket = aPacket;
  return SendForward{ *agent, std::move(forward), true };
}

// The candidates of the service that take new flows, in the order in which a new flow visits them.
std::optional<flow::Endpoint> PacketRouter::selectHedgeAgent(
  base::Time aNow,
  const flow::FlowKey& aFlow,
  const std::vector<flow::Endpoint>& aTried)
{
  mCandidateServices.clear();
  const auto* service = mServiceTable.selectService(aFlow.mService, aFlow.hash());
  if (service == nullptr) {
    return std::nullopt;
  }
  mCandidateServices.push_back(service);
  const std::size_t limit = std::min(service->eligibleCount(), routing::kCandidatesPerPage);
  std::vector<flow::Endpoint> agents = service->candidates(aFlow.hash(), true, limit);
  movePreferredZoneFirst(agents);
  moveSuspectsLast(aNow, agents);
  const auto found = std::find_if(agents.begin(), agents.end(), [&](flow::Endpoint aAgent) {
    return !contains(aTried, aAgent) && !mFailureDetector.isSuspected(aAgent);
  });
  return found == agents.end() ? std::nullopt : std::optional(*found);
}

} // namespace cornelcross::balancer
