#include "agent/owner_lookups.hpp"

#include "flow/run_verdict.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelcross::agent {

namespace {

/// Shortest time between the starts of two rounds. Bounds the messages per second.
constexpr base::Duration kMinRoundInterval = std::chrono::milliseconds(50);

/// Time until agents without an answer are asked again about a flow.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(150);

/// Time until an agent that cannot rule out that it owns the flow gets the packets again. An
/// upstream returns a packet of another flow within a few milliseconds.
constexpr base::Duration kCopyInterval = std::chrono::milliseconds(400);

/// Callers send a packet again after 1.6 s at most, which starts the lookup again.
constexpr base::Duration kLookupTimeout = std::chrono::seconds(3);

/// Time for which the owner of a flow in an availability zone out of service is stored. A caller
/// sends several packets within this time, none of which can be delivered.
constexpr base::Duration kOwnerOutOfServiceLifetime = std::chrono::seconds(5);
constexpr std::size_t kMaxOwnersOutOfService = 4096;

/// Rounds without a reply after which an agent gets the packets.
constexpr std::uint32_t kMinRoundsBeforeCopies = 2;

/// Time after a packet at a likely owner in which copies to all undecided agents may follow. Later
/// ones would have taken a living flow elsewhere for as long, if one of them comes before its own.
constexpr base::Duration kTrialSpan = std::chrono::milliseconds(1500);

/// Undecided agents of which at most one gets a packet of a flow that it does not own.
constexpr std::size_t kFewAgents = 2;

/// Time for which the statement holds that an agent would deliver a packet.
constexpr base::Duration kStatementLifetime = std::chrono::milliseconds(250);

constexpr std::size_t kMaxLookups = 512;
constexpr std::size_t kMaxPacketsPerLookup = 16; // the largest window of a caller
constexpr std::size_t kMaxWaitingPackets = 1024;

/// The first of some agents, for a log line.
std::string firstOf(const std::vector<flow::Endpoint>& aAgents)
{
  return aAgents.empty() ? std::string("none") : aAgents.front().toString();
}

} // namespace

OwnerLookups::OwnerLookups(flow::Endpoint aSelf,
                           membership::FailureDetector& aFailureDetector,
                           const flow::PacketFormat& aPacketFormat,
                           const routing::ServiceTable& aServiceTable,
                           OwnershipHook aOwnershipHook,
                           std::uint32_t aFirstRound)
  : mSelf(aSelf)
  , mFailureDetector(aFailureDetector)
  , mPacketFormat(aPacketFormat)
  , mServiceTable(aServiceTable)
  , mOwnershipHook(std::move(aOwnershipHook))
  , mQueries(aFirstRound)
{
}

Actions OwnerLookups::start(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
{
  const flow::FlowKey flow = aPacket.keyFromCaller();
  if (ownerOutOfService(aNow, flow) != nullptr) {
    return { DropPacket{ DropReason::kZoneOut } };
  }
  const auto found = mLookups.find(flow);
  const bool hasRoom =
    mWaitingPackets < kMaxWaitingPackets &&
    (found == mLookups.end() ? mLookups.size() < kMaxLookups
                             : found->second.mPackets.size() < kMaxPacketsPerLookup);
  if (!hasRoom) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  Lookup& lookup = mLookups[flow];
  if (found == mLookups.end()) {
    lookup.mStartedAt = aNow;
    lookup.mNextRoundAt = aNow;
  }
  lookup.mLastPacket = aPacket;
  lookup.mIngress = aForward.mIngress;
  lookup.mListedDigest.reset();
  if (aForward.mRestartCount == 0) {
    lookup.mListedDigest = aForward.mCandidateDigest;
  }
  lookup.mPackets.push_back(std::move(aForward.mPacket));
  ++mWaitingPackets;
  Actions actions;
  tryLikelyOwner(aNow, lookup, aForward, actions);
  append(actions, startRound(aNow));
  return actions;
}

routing::CandidateServices OwnerLookups::services(const flow::FlowKey& aFlow) const
{
  routing::CandidateServices services;
  mServiceTable.servicesForEstablishedFlow(aFlow.mService, aFlow.hash(), services);
  return services;
}

// Operators treat an upstream as gone that is no longer registered. Its flows may still be in
// progress, but not on a VM that does not reply either. Any other agent may own flows for as long
// as it is not unreachable.
bool OwnerLookups::isGone(base::Time aNow,
                          const routing::ServiceRoutes& aRoutes,
                          flow::Endpoint aAgent) const
{
  const bool isSilent = mQueries.hasLongBeenSilent(aNow, aAgent);
  return mFailureDetector.isUnreachable(aNow, aAgent) ||
         (aRoutes.isRemoved(aAgent) && (isSilent || mFailureDetector.isSuspected(aAgent)));
}

std::vector<flow::Endpoint> OwnerLookups::undecidedAgents(base::Time aNow,
                                                          const flow::FlowKey& aFlow,
                                                          const Lookup& aLookup) const
{
  std::vector<flow::Endpoint> agents;
  for (const routing::ServiceRoutes* routes : services(aFlow)) {
    for (const flow::Endpoint agent : routes->receiverAgents()) {
      if (!aLookup.mDeniedBy.contains(agent) && !isGone(aNow, *routes, agent)) {
        agents.push_back(agent);
      }
    }
  }
  return agents;
}

bool OwnerLookups::isOutOfService(const flow::FlowKey& aFlow, flow::Endpoint aAgent) const
{
  const routing::CandidateServices services = this->services(aFlow);
  return std::any_of(services.begin(), services.end(), [&](const auto* aRoutes) {
    const auto& agents = aRoutes->agentsOutOfService();
    return std::find(agents.begin(), agents.end(), aAgent) != agents.end();
  });
}

// The zone of a stored owner may have returned to service since.
const flow::Endpoint* OwnerLookups::ownerOutOfService(base::Time aNow,
                                                      const flow::FlowKey& aFlow) const
{
  const auto found = mOwnersOutOfService.find(aFlow);
  const bool isValid = found != mOwnersOutOfService.end() && aNow < found->second.mUntil &&
                       isOutOfService(aFlow, found->second.mAgent);
  return isValid ? &found->second.mAgent : nullptr;
}

void OwnerLookups::storeOwnerOutOfService(base::Time aNow,
                                          const flow::FlowKey& aFlow,
                                          flow::Endpoint aOwner)
{
  if (mOwnersOutOfService.size() >= kMaxOwnersOutOfService) {
    std::erase_if(mOwnersOutOfService,
                  [&](const auto& aEntry) { return aNow >= aEntry.second.mUntil; });
  }
  if (mOwnersOutOfService.size() < kMaxOwnersOutOfService) {
    mOwnersOutOfService[aFlow] = { aOwner, aNow + kOwnerOutOfServiceLifetime };
  }
}

// Only an agent can state what its own upstream does not own. Neither the order of the upstream's
// start and the removal of its zone nor this process's own start proves that no flow entered the
// zone: other processes receive the removal later.
std::vector<flow::Endpoint> OwnerLookups::undecidedOutOfService(base::Time aNow,
                                                                const flow::FlowKey& aFlow,
                                                                const Lookup& aLookup) const
{
  std::vector<flow::Endpoint> agents;
  for (const routing::ServiceRoutes* routes : services(aFlow)) {
    for (const flow::Endpoint agent : routes->agentsOutOfService()) {
      if (!aLookup.mDeniedBy.contains(agent) && !isGone(aNow, *routes, agent)) {
        agents.push_back(agent);
      }
    }
  }
  return agents;
}

void OwnerLookups::deliverToOwner(Lookups::iterator aLookup,
                                  flow::Endpoint aOwner,
                                  Actions& aActions)
{
  for (const flow::Bytes& packet : aLookup->second.mPackets) {
    sendPacket(aLookup->second, packet, aOwner, aActions);
  }
  erase(aLookup);
}

// Nothing is delivered to an upstream in a zone out of service, and its flow is not reset, because
// the upstream is alive. The lookup goes on to the end of the round: if the caller has used its
// port again, an agent in service owns the flow now.
bool OwnerLookups::recordOwner(Lookups::iterator aLookup, flow::Endpoint aOwner, Actions& aActions)
{
  if (isOutOfService(aLookup->first, aOwner)) {
    aLookup->second.mOwnerOutOfService = aOwner;
    return false;
  }
  deliverToOwner(aLookup, aOwner, aActions);
  return true;
}

// Returns true if this agent owns the flow and the lookup has ended. The upstream may have sent a
// packet of the flow since the lookup started.
bool OwnerLookups::resolveOwnFlow(base::Time aNow, const flow::FlowKey& aFlow, Actions& aActions)
{
  const auto found = mLookups.find(aFlow);
  const wire::FlowOwnership ownership = mOwnershipHook(aNow, aFlow);
  if (ownership == wire::FlowOwnership::kOwned) {
    return recordOwner(found, mSelf, aActions);
  }
  recordOwnership(aNow, found->second, mSelf, ownership);
  return false;
}

void OwnerLookups::recordOwnership(base::Time aNow,
                                   Lookup& aLookup,
                                   flow::Endpoint aAgent,
                                   wire::FlowOwnership aOwnership)
{
  if (aOwnership == wire::FlowOwnership::kDenied) {
    aLookup.mDeniedBy.insert(aAgent);
  } else if (aOwnership == wire::FlowOwnership::kUnknown) {
    aLookup.mDeliverableAt[aAgent] = aNow;
  } else {
    aLookup.mDeliverableAt.erase(aAgent);
  }
}

Actions OwnerLookups::startRound(base::Time aNow)
{
  if (!mRoundFlows.empty() || aNow - mQueries.startedAt() < kMinRoundInterval) {
    return {};
  }
  std::vector<Lookups::iterator> due;
  for (auto lookup = mLookups.begin(); lookup != mLookups.end(); ++lookup) {
    if (lookup->second.mNextRoundAt <= aNow) {
      due.push_back(lookup);
    }
  }
  if (due.empty()) {
    return {};
  }
  std::sort(due.begin(), due.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->second.mNextRoundAt < aRight->second.mNextRoundAt;
  });
  due.resize(std::min(due.size(), wire::kMaxLookupFlows));
  LookupQueries::Flows queries;
  Actions actions;
  for (const auto& lookup : due) {
    const flow::FlowKey flow = lookup->first;
    if (resolveOwnFlow(aNow, flow, actions)) {
      continue;
    }
    mRoundFlows.insert(flow);
    ++lookup->second.mRounds;
    std::vector<flow::Endpoint> agents = undecidedAgents(aNow, flow, lookup->second);
    const auto outOfService = undecidedOutOfService(aNow, flow, lookup->second);
    agents.insert(agents.end(), outOfService.begin(), outOfService.end());
    for (const flow::Endpoint agent : agents) {
      if (agent != mSelf) {
        queries[agent].push_back(flow);
      }
    }
  }
  const std::uint32_t round = mQueries.start(aNow, queries);
  for (const auto& [agent, flows] : queries) {
    mFailureDetector.recordUse(aNow, agent);
    actions.emplace_back(SendMessage{ agent, wire::OwnerLookup{ round, flows } });
  }
  if (queries.empty()) {
    append(actions, finishRound(aNow));
  }
  return actions;
}

Actions OwnerLookups::onReply(base::Time aNow,
                              flow::Endpoint aFrom,
                              std::uint64_t aRevision,
                              const wire::OwnerLookupReply& aReply)
{
  mFailureDetector.recordReply(aNow, aFrom);
  const LookupQueries::Answer answer =
    mQueries.takeAnswered(aNow, aFrom, aReply.mRound, aReply.mOwnerships.size());
  if (answer.mFlows.empty()) {
    return {};
  }
  Actions actions;
  for (std::size_t i = 0; i < answer.mFlows.size(); ++i) {
    const auto lookup = mLookups.find(answer.mFlows[i]);
    // Another agent owns the flow, or the answer is about an earlier flow of the caller's port.
    if (lookup == mLookups.end() || answer.mAskedAt < lookup->second.mStartedAt) {
      continue;
    }
    lookup->second.mNewestRevision = std::max(lookup->second.mNewestRevision, aRevision);
    if (aReply.mOwnerships[i] == wire::FlowOwnership::kOwned) {
      recordOwner(lookup, aFrom, actions);
    } else {
      recordOwnership(aNow, lookup->second, aFrom, aReply.mOwnerships[i]);
    }
  }
  if (!mRoundFlows.empty() && mQueries.areOnlySilentAgentsLeft(aNow)) {
    append(actions, finishRound(aNow));
  }
  return actions;
}

Actions OwnerLookups::onTimer(base::Time aNow)
{
  Actions actions;
  mQueries.countUnanswered(aNow);
  if (!mRoundFlows.empty() && mQueries.isTimedOut(aNow)) {
    actions = finishRound(aNow);
  }
  append(actions, startRound(aNow));
  return actions;
}

Actions OwnerLookups::finishRound(base::Time aNow)
{
  mQueries.finish(aNow);
  Actions actions;
  for (const flow::FlowKey& flow : std::exchange(mRoundFlows, {})) {
    conclude(aNow, flow, actions);
  }
  return actions;
}

// Each agent's denial stays valid: an upstream without the flow cannot get a flow that was
// established before. What may be missing is an upstream that only other processes list. Each of
// the processes that the packet passed, and each agent that replied, would list it. The digest is
// compared at the end of the lookup, since this agent may have received the list of the others
// meanwhile.
bool OwnerLookups::isDenialComplete(const flow::FlowKey& aFlow, const Lookup& aLookup) const
{
  const config::Configuration& configuration = mServiceTable.configuration();
  const routing::CandidateServices services = this->services(aFlow);
  return aLookup.mListedDigest == routing::listedDigest(services) &&
         configuration.mRevision >= aLookup.mNewestRevision && !services.empty() &&
         configuration.mIsRetainedStateComplete;
}

void OwnerLookups::conclude(base::Time aNow, const flow::FlowKey& aFlow, Actions& aActions)
{
  const auto found = mLookups.find(aFlow);
  if (found == mLookups.end() || resolveOwnFlow(aNow, aFlow, aActions)) {
    return;
  }
  Lookup& lookup = found->second;
  if (lookup.mOwnerOutOfService) {
    storeOwnerOutOfService(aNow, aFlow, *lookup.mOwnerOutOfService);
    aActions.emplace_back(DropPacket{ DropReason::kZoneOut });
    erase(found);
    return;
  }
  const std::vector<flow::Endpoint> undecided = undecidedAgents(aNow, aFlow, lookup);
  const bool mayBeOutOfService = !undecidedOutOfService(aNow, aFlow, lookup).empty();
  if (undecided.empty() && !mayBeOutOfService && isDenialComplete(aFlow, lookup)) {
    // A RST is never answered with a RST (RFC 9293, section 3.5.2).
    if (!lookup.mLastPacket.has(flow::kRst)) {
      aActions.emplace_back(SendToCaller{ mPacketFormat.mMakeReset(lookup.mLastPacket) });
      aActions.emplace_back(makeReset(aNow, aFlow, lookup));
    }
    erase(found);
    return;
  }
  // An agent that gets a copy can answer as soon as its upstream has returned the packet.
  const std::size_t actionsBefore = aActions.size();
  const bool isCopyNew =
    std::any_of(lookup.mCopiedAt.begin(), lookup.mCopiedAt.end(), [&](const auto& aCopied) {
      return aNow - aCopied.second < kMinRoundInterval;
    });
  const bool isPending = isCopyPending(aNow, lookup, undecided);
  const bool isTimedOut = aNow - lookup.mStartedAt >= kLookupTimeout;
  const bool isTrialRecent = !lookup.mTriedAt || aNow - *lookup.mTriedAt < kTrialSpan;
  if (!mayBeOutOfService && !isPending && !isTimedOut && isTrialRecent &&
      willOwnerGetCopy(aNow, lookup, undecided)) {
    copyToUndecided(aNow, lookup, undecided, aActions);
  }
  const bool hasSentCopies = aActions.size() > actionsBefore || isCopyNew;
  lookup.mNextRoundAt = aNow + (hasSentCopies ? kMinRoundInterval : kRetryInterval);
  if (isTimedOut && !isPending) {
    aActions.emplace_back(DropPacket{ DropReason::kNoOwner });
    aActions.emplace_back(makeNotFound(aNow, aFlow, lookup));
    erase(found);
  }
}

// An upstream that does not return a packet at once probably owns the flow, but its agent states so
// only after the upstream has answered. Copies to others would then be the last packets of the
// flow.
bool OwnerLookups::isCopyPending(base::Time aNow,
                                 const Lookup& aLookup,
                                 const std::vector<flow::Endpoint>& aUndecided)
{
  return std::any_of(aUndecided.begin(), aUndecided.end(), [&](flow::Endpoint aAgent) {
    const auto copied = aLookup.mCopiedAt.find(aAgent);
    return copied != aLookup.mCopiedAt.end() && aNow - copied->second < kCopyInterval;
  });
}

// True if copies to all undecided agents reach the owner if it is alive, or if they are too few to
// take the flow elsewhere. A silent agent may own the flow, and so may one that states that it
// would not deliver a packet, whatever this process has of its zone.
bool OwnerLookups::willOwnerGetCopy(base::Time aNow,
                                    const Lookup& aLookup,
                                    const std::vector<flow::Endpoint>& aUndecided) const
{
  return aUndecided.size() <= kFewAgents ||
         std::all_of(aUndecided.begin(), aUndecided.end(), [&](flow::Endpoint aAgent) {
           const auto found = aLookup.mDeliverableAt.find(aAgent);
           return found != aLookup.mDeliverableAt.end() &&
                  aNow - found->second <= kStatementLifetime;
         });
}

// An upstream returns the packets of a flow that it does not have, so that its agent can deny the
// flow afterwards. An agent of an earlier version does not reply to lookups, and delivers the
// packets if it owns the flow. Agents that only reply late get no packets in the first round:
// copies to all agents would be the larger load. While a zone out of service may own the flow, no
// copy is sent: the packets of its flows would reach upstreams that do not own them.
void OwnerLookups::copyToUndecided(base::Time aNow,
                                   Lookup& aLookup,
                                   const std::vector<flow::Endpoint>& aUndecided,
                                   Actions& aActions) const
{
  for (const flow::Endpoint agent : aUndecided) {
    const bool isSilent = !aLookup.mDeliverableAt.contains(agent);
    if (isSilent && aLookup.mRounds < kMinRoundsBeforeCopies) {
      continue;
    }
    const auto copied = aLookup.mCopiedAt.find(agent);
    if (copied == aLookup.mCopiedAt.end() || aNow - copied->second >= kCopyInterval) {
      sendCopy(aNow, aLookup, agent, aActions);
    }
  }
}

// The agent that a balancer assumes to be the owner, or one that was the owner while its zone was
// out of service, is tried without waiting for the others. A packet that came from a cached owner's
// upstream was tried there.
void OwnerLookups::tryLikelyOwner(base::Time aNow,
                                  Lookup& aLookup,
                                  const wire::Forward& aForward,
                                  Actions& aActions) const
{
  const auto stored = mOwnersOutOfService.find(aLookup.mLastPacket.keyFromCaller());
  const bool isStored = stored != mOwnersOutOfService.end() && aNow < stored->second.mUntil;
  const bool hasReachedOne = aForward.mPossibleOwners.empty() && aForward.mHops > 0;
  const bool hasLikelyOwner = isStored || !aForward.mPossibleOwners.empty();
  if (!aLookup.mTriedAt && !hasReachedOne && hasLikelyOwner) {
    const flow::Endpoint likely =
      isStored ? stored->second.mAgent : aForward.mPossibleOwners.front();
    sendCopy(aNow, aLookup, likely, aActions);
  }
  if (!aLookup.mTriedAt && (hasReachedOne || hasLikelyOwner)) {
    aLookup.mTriedAt = aNow;
  }
}

// One packet suffices: an owner replies to the next round that it owns the flow.
void OwnerLookups::sendCopy(base::Time aNow,
                            Lookup& aLookup,
                            flow::Endpoint aAgent,
                            Actions& aActions) const
{
  const auto smallest = std::min_element(
    aLookup.mPackets.begin(), aLookup.mPackets.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.size() < aRight.size();
    });
  aLookup.mCopiedAt[aAgent] = aNow;
  sendPacket(aLookup, *smallest, aAgent, aActions);
}

// Marked as a copy, the packet ends at its receiver.
void OwnerLookups::sendPacket(const Lookup& aLookup,
                              const flow::Bytes& aPacket,
                              flow::Endpoint aAgent,
                              Actions& aActions) const
{
  wire::Forward forward;
  forward.mIngress = aLookup.mIngress;
  forward.mIsListFromAgent = true;
  forward.mIsLastPage = true;
  forward.mIsDeniedByAll = false;
  forward.mIsCopy = true;
  forward.mCandidates = { aAgent };
  forward.mPacket = aPacket;
  aActions.emplace_back(SendMessage{ aAgent, std::move(forward) });
}

void OwnerLookups::erase(Lookups::iterator aLookup)
{
  mWaitingPackets -= aLookup->second.mPackets.size();
  mLookups.erase(aLookup);
}

// At a reset, an agent that has not denied the flow counts as gone.
Action OwnerLookups::makeReset(base::Time aNow,
                               const flow::FlowKey& aFlow,
                               const Lookup& aLookup) const
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aLookup.mStartedAt);
  std::vector<flow::Endpoint> gone;
  const auto addGone = [&](const std::vector<flow::Endpoint>& aAgents) {
    std::copy_if(aAgents.begin(),
                 aAgents.end(),
                 std::back_inserter(gone),
                 [&](flow::Endpoint aAgent) { return !aLookup.mDeniedBy.contains(aAgent); });
  };
  for (const routing::ServiceRoutes* routes : services(aFlow)) {
    addGone(routes->receiverAgents());
    addGone(routes->agentsOutOfService());
  }
  return telemetry::Event{ telemetry::EventKind::kFlowReset,
                           { { "flow", aFlow.toString() },
                             { "reason", "denied_by_all" },
                             { "verdict", std::string(toString(flow::RunVerdict::kMayHaveRun)) },
                             { "candidates", std::to_string(aLookup.mDeniedBy.size()) },
                             { "gone", std::to_string(gone.size()) },
                             { "first_gone", firstOf(gone) },
                             { "rounds", std::to_string(aLookup.mRounds) },
                             { "lookup_ms", std::to_string(elapsed.count()) },
                             { "revision",
                               std::to_string(mServiceTable.configuration().mRevision) } } };
}

// Tells from the log what kept the flow from being delivered or reset.
Action OwnerLookups::makeNotFound(base::Time aNow,
                                  const flow::FlowKey& aFlow,
                                  const Lookup& aLookup) const
{
  const config::Configuration& configuration = mServiceTable.configuration();
  const auto yesOrNo = [](bool aValue) { return std::string(aValue ? "yes" : "no"); };
  const auto undecided = undecidedAgents(aNow, aFlow, aLookup);
  const auto outOfService = undecidedOutOfService(aNow, aFlow, aLookup);
  const auto undeliverable =
    std::count_if(undecided.begin(), undecided.end(), [&](flow::Endpoint aAgent) {
      return !aLookup.mDeliverableAt.contains(aAgent);
    });
  const bool hasSameList = aLookup.mListedDigest == routing::listedDigest(services(aFlow));
  return telemetry::Event{ telemetry::EventKind::kOwnerNotFound,
                           { { "flow", aFlow.toString() },
                             { "denied", std::to_string(aLookup.mDeniedBy.size()) },
                             { "undecided", std::to_string(undecided.size()) },
                             { "first_undecided", firstOf(undecided) },
                             { "undeliverable", std::to_string(undeliverable) },
                             { "undecided_out", std::to_string(outOfService.size()) },
                             { "first_undecided_out", firstOf(outOfService) },
                             { "same_list", yesOrNo(hasSameList) },
                             { "newest_revision", std::to_string(aLookup.mNewestRevision) },
                             { "retained_complete",
                               yesOrNo(configuration.mIsRetainedStateComplete) },
                             { "rounds", std::to_string(aLookup.mRounds) },
                             { "revision", std::to_string(configuration.mRevision) } } };
}

} // namespace cornelcross::agent
