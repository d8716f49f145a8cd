#include "agent/candidate_forwarder.hpp"

#include "flow/run_verdict.hpp"
#include "routing/candidates.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::agent {

namespace {

/// Pages of the candidate list that a SYN may visit. Without the bound, each new flow would visit
/// all agents of a service that has no free capacity.
constexpr std::uint16_t kMaxNewFlowPages = 4;

/// Times that a packet may start again with another agent's candidate list. While agents pull
/// retained state, each of them may have a different list.
constexpr std::uint8_t kMaxRestarts = 2;

/// Groups of flows of a service. One agent looks up the owners of all flows of a group.
constexpr std::uint64_t kLookupGroups = 16;

} // namespace

void CandidateForwarder::configure(config::ConfigurationPtr aConfiguration,
                                   std::string aServiceName)
{
  mServiceTable.apply(std::move(aConfiguration));
  mServiceName = std::move(aServiceName);
}

Actions CandidateForwarder::forward(base::Time aNow,
                                    const flow::TcpPacket& aPacket,
                                    wire::Forward aForward)
{
  Actions actions;
  std::size_t next = aForward.mCandidateIndex + std::size_t{ 1 };
  for (;;) {
    const std::size_t left = aForward.mCandidates.size() - next;
    const std::size_t suspects = mFailureDetector.moveSuspectsLast(aForward.mCandidates, next);
    if (suspects < left) {
      const flow::Endpoint agent = aForward.mCandidates[next];
      mFailureDetector.recordUse(aNow, agent);
      aForward.mCandidateIndex = static_cast<std::uint8_t>(next);
      actions.emplace_back(SendMessage{ agent, std::move(aForward) });
      return actions;
    }
    if (isLookupDue(aPacket, aForward)) {
      append(actions, lookUpOwner(aNow, aPacket, std::move(aForward)));
      return actions;
    }
    querySuspects(aNow, aPacket, next, aForward, actions);
    if (!loadNextPage(aPacket, aForward)) {
      break;
    }
    std::erase(aForward.mCandidates, mSelf); // this agent has processed the packet
    next = 0;
  }
  append(actions, onNoOwner(aPacket, aForward));
  return actions;
}

// The first page holds the upstreams to which a balancer with the current configuration assigns the
// flow. Beyond it, one message to each agent finds the owner in one round trip, while a packet that
// visits the agents one after the other takes a round trip for each and may be lost at each.
bool CandidateForwarder::isLookupDue(const flow::TcpPacket& aPacket,
                                     const wire::Forward& aForward) const
{
  const bool isFirstPageVisited = aForward.mPage != wire::kNoPage;
  return mPacketFormat.returnsPackets() && !aPacket.isInitialSyn() && isFirstPageVisited &&
         !aForward.mIsCopy && aForward.mOwnershipQuery == wire::OwnershipQuery::kNone &&
         !canResetAfter(aPacket, aForward);
}

// Few agents look up the flows of a service, so that one message asks about many flows after a
// failure. The selection does not depend on states and zones: two agents that look up one flow at a
// time would each try other upstreams. The selected one always does the lookup.
Actions CandidateForwarder::lookUpOwner(base::Time aNow,
                                        const flow::TcpPacket& aPacket,
                                        wire::Forward aForward)
{
  const bool isSelected = aForward.mIsListFromAgent && aForward.mCandidates == std::vector{ mSelf };
  const flow::Endpoint agent = isSelected ? mSelf : selectLookupAgent(aPacket);
  if (agent == mSelf) {
    return mOwnerLookups.start(aNow, aPacket, std::move(aForward));
  }
  mFailureDetector.recordUse(aNow, agent);
  aForward.mCandidates = { agent };
  aForward.mCandidateIndex = 0;
  aForward.mIsListFromAgent = true;
  return { SendMessage{ agent, std::move(aForward) } };
}

flow::Endpoint CandidateForwarder::selectLookupAgent(const flow::TcpPacket& aPacket) const
{
  const routing::CandidateServices services = candidateServices(aPacket);
  if (services.empty()) {
    return mSelf;
  }
  const std::uint64_t group = aPacket.keyFromCaller().hash() % kLookupGroups;
  for (const flow::Endpoint agent : services.front()->listedAgents(group, kLookupGroups)) {
    if (!mFailureDetector.isSuspected(agent)) {
      return agent;
    }
  }
  return mSelf;
}

bool CandidateForwarder::hasNextCandidate(const wire::Forward& aForward) const
{
  const auto next = aForward.mCandidates.begin() + aForward.mCandidateIndex + 1;
  return std::any_of(next, aForward.mCandidates.end(), [this](flow::Endpoint aAgent) {
    return !mFailureDetector.isSuspected(aAgent);
  });
}

void CandidateForwarder::querySuspects(base::Time aNow,
                                       const flow::TcpPacket& aPacket,
                                       std::size_t aFirst,
                                       wire::Forward& aForward,
                                       Actions& aActions) const
{
  for (std::size_t i = aFirst; i < aForward.mCandidates.size(); ++i) {
    const flow::Endpoint suspect = aForward.mCandidates[i];
    mFailureDetector.recordUse(aNow, suspect);
    // A suspect that does not reply would lose the packet for the candidates after it. The suspect
    // gets a copy, and the packet is forwarded further. A SYN is not copied, since two upstreams
    // would accept it.
    if (mFailureDetector.isUnreachable(aNow, suspect) || aPacket.isInitialSyn()) {
      continue;
    }
    aForward.mIsDeniedByAll = false;
    if (mPacketFormat.returnsPackets()) {
      continue; // the lookup asks the suspect
    }
    wire::Forward copy = aForward;
    copy.mCandidates = { suspect };
    copy.mCandidateIndex = 0;
    copy.mIsLastPage = true;
    copy.mIsCopy = true;
    aActions.emplace_back(SendMessage{ suspect, std::move(copy) });
  }
}

routing::CandidateServices CandidateForwarder::candidateServices(
  const flow::TcpPacket& aPacket) const
{
  routing::CandidateServices services;
  mServiceTable.servicesForEstablishedFlow(
    aPacket.mDestination, aPacket.keyFromCaller().hash(), services);
  return services;
}

std::uint64_t CandidateForwarder::digestOf(const routing::CandidateServices& aServices) const
{
  return mPacketFormat.returnsPackets() ? routing::listedDigest(aServices)
                                        : routing::candidateDigest(aServices);
}

// Each agent computes the next page from its own configuration. An agent whose candidates differ
// from the sender's starts again with its own first page: the balancer may have started after the
// removal of a service or an upstream that still owns the flow.
bool CandidateForwarder::loadNextPage(const flow::TcpPacket& aPacket, wire::Forward& aForward) const
{
  if (aForward.mIsCopy || aForward.mOwnershipQuery != wire::OwnershipQuery::kNone) {
    return false;
  }
  if (aPacket.isInitialSyn()) {
    return loadNextNewFlowPage(aPacket, aForward);
  }
  const routing::CandidateServices services = candidateServices(aPacket);
  const std::uint64_t ownDigest = digestOf(services);
  const bool hasSameCandidates = ownDigest == aForward.mCandidateDigest;
  const bool hasBegun = aForward.mCandidateDigest != 0;
  if (!aForward.mIsLastPage && hasBegun) {
    ++aForward.mPage; // wraps from kNoPage to page 0
    aForward.mIsDeniedByAll = aForward.mIsDeniedByAll && hasSameCandidates;
  } else if (!hasSameCandidates && aForward.mRestartCount < kMaxRestarts) {
    aForward.mRestartCount += hasBegun ? 1 : 0;
    // Two agents with different candidate lists cannot both list every possible owner.
    aForward.mIsDeniedByAll = aForward.mIsDeniedByAll && !hasBegun;
    aForward.mCandidateDigest = ownDigest;
    aForward.mService = services.size() == 1 ? services.front()->nameHash() : 0;
    aForward.mPage = 0;
  } else {
    return false;
  }
  routing::OwnerCandidates page = routing::ownerCandidates(
    services, aPacket.keyFromCaller(), aForward.mPage, aForward.mCandidates);
  aForward.mCandidates = std::move(page.mAgents);
  aForward.mIsLastPage = page.mIsLastPage;
  aForward.mIsListFromAgent = true;
  if (!mPacketFormat.returnsPackets()) {
    return !aForward.mCandidates.empty();
  }
  if (!page.mIsLastPage) {
    keepOwnZone(services, aForward.mCandidates);
  }
  return true; // without candidates the owner is looked up
}

// New flows go to the balancer's zone first, and a balancer selects an agent of its zone. The
// agents of other zones are asked by a lookup, whose messages are smaller than the packet.
void CandidateForwarder::keepOwnZone(const routing::CandidateServices& aServices,
                                     std::vector<flow::Endpoint>& aAgents) const
{
  std::erase_if(aAgents, [&](flow::Endpoint aAgent) {
    return std::none_of(aServices.begin(), aServices.end(), [&](const auto* aRoutes) {
      return aRoutes->areInSameZone(mSelf, aAgent);
    });
  });
}

bool CandidateForwarder::loadNextNewFlowPage(const flow::TcpPacket& aPacket,
                                             wire::Forward& aForward) const
{
  const routing::ServiceRoutes* routes = mServiceTable.find(mServiceName);
  if (aForward.mIsLastPage || routes == nullptr || aForward.mPage + 1 >= kMaxNewFlowPages) {
    return false;
  }
  ++aForward.mPage;
  aForward.mCandidates =
    routing::newFlowCandidates(*routes, aPacket.keyFromCaller(), aForward.mPage);
  aForward.mIsLastPage = routing::isLastNewFlowPage(*routes, aForward.mPage);
  return !aForward.mCandidates.empty();
}

// True if every visited candidate denied the flow and the candidates include every upstream that
// may own the flow according to this agent's configuration.
bool CandidateForwarder::isDenialConclusive(const flow::TcpPacket& aPacket,
                                            const wire::Forward& aForward) const
{
  if (!aForward.mIsDeniedByAll || !aForward.mIsLastPage) {
    return false;
  }
  const routing::CandidateServices services = candidateServices(aPacket);
  // The candidates do not include the agents of zones out of service.
  const bool areAllCandidates =
    std::all_of(services.begin(), services.end(), [](const auto* aRoutes) {
      return aRoutes->agentsOutOfService().empty();
    });
  return areAllCandidates && digestOf(services) == aForward.mCandidateDigest;
}

bool CandidateForwarder::canResetAfter(const flow::TcpPacket& aPacket,
                                       const wire::Forward& aForward) const
{
  // A RST is never answered with a RST (RFC 9293, section 3.5.2). Without the complete retained
  // state, an unlisted service or upstream may own the flow.
  const bool isOwnerListComplete =
    !mPacketFormat.returnsPackets() || mServiceTable.configuration().mIsRetainedStateComplete;
  return !aPacket.has(flow::kRst) && isOwnerListComplete && aForward.mPossibleOwners.empty() &&
         isDenialConclusive(aPacket, aForward);
}

void CandidateForwarder::queryPossibleOwners(const wire::Forward& aForward,
                                             wire::OwnershipQuery aQuery,
                                             Actions& aActions)
{
  for (const flow::Endpoint agent : aForward.mPossibleOwners) {
    wire::Forward query = aForward;
    query.mOwnershipQuery = aQuery;
    query.mPossibleOwners.clear();
    query.mCandidates = { agent };
    query.mCandidateIndex = 0;
    aActions.emplace_back(SendMessage{ agent, std::move(query) });
  }
}

Actions CandidateForwarder::addPossibleOwner(flow::Endpoint aSelf, wire::Forward& aForward)
{
  Actions actions;
  if (aForward.mPossibleOwners.size() >= wire::kMaxCandidates) {
    queryPossibleOwners(aForward, wire::OwnershipQuery::kTentative, actions);
    aForward.mPossibleOwners.clear();
    aForward.mIsDeniedByAll = false;
  }
  aForward.mPossibleOwners.push_back(aSelf);
  return actions;
}

Actions CandidateForwarder::onNoOwner(const flow::TcpPacket& aPacket,
                                      const wire::Forward& aForward) const
{
  if (aPacket.isInitialSyn() && aForward.mIsCopy) {
    return { DropPacket{ DropReason::kNoOwner } }; // another agent may admit the flow
  }
  if (aPacket.isInitialSyn()) {
    // The SYN was delivered to no upstream, so the refusal is correct under any configuration.
    return { SendToCaller{ mPacketFormat.mMakeReset(aPacket) },
             telemetry::Event{
               telemetry::EventKind::kFlowRefused,
               { { "flow", aPacket.keyFromCaller().toString() },
                 { "verdict", std::string(toString(flow::RunVerdict::kNotRun)) },
                 { "asked", std::to_string(aForward.mCandidateIndex + 1) },
                 { "candidates", std::to_string(aForward.mCandidates.size()) },
                 { "revision", std::to_string(mServiceTable.configuration().mRevision) } } } };
  }
  if (!aForward.mPossibleOwners.empty()) {
    // The RST of an upstream is decisive only if all other possible owners denied the flow. With
    // several agents left, the RST of one upstream proves nothing.
    const bool isDecisive =
      aForward.mPossibleOwners.size() == 1 && isDenialConclusive(aPacket, aForward);
    Actions actions;
    queryPossibleOwners(aForward,
                        isDecisive ? wire::OwnershipQuery::kDecisive
                                   : wire::OwnershipQuery::kTentative,
                        actions);
    return actions;
  }
  if (!canResetAfter(aPacket, aForward)) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  return { SendToCaller{ mPacketFormat.mMakeReset(aPacket) },
           telemetry::Event{
             telemetry::EventKind::kFlowReset,
             { { "flow", aPacket.keyFromCaller().toString() },
               { "reason", "denied_by_all" },
               { "verdict", std::string(toString(flow::RunVerdict::kMayHaveRun)) },
               { "candidates", std::to_string(aForward.mCandidates.size()) },
               { "revision", std::to_string(mServiceTable.configuration().mRevision) } } } };
}

} // namespace cornelcross::agent
