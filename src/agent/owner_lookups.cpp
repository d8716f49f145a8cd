#include "agent/owner_lookups.hpp"

#include "flow/run_verdict.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::agent {

namespace {

/// Round trip between availability zones, with room for slow processes.
constexpr base::Duration kRoundTimeout = std::chrono::milliseconds(200);

/// Shortest time between the starts of two rounds. Bounds the messages per second.
constexpr base::Duration kMinRoundInterval = std::chrono::milliseconds(50);

/// Time until agents without an answer are asked again about a flow.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(150);

/// Time until an agent that cannot rule out that it owns the flow gets the packets again. An
/// upstream returns a packet of another flow within a few milliseconds.
constexpr base::Duration kCopyInterval = std::chrono::milliseconds(400);

/// Callers send a packet again after 1.6 s at most, which starts the lookup again.
constexpr base::Duration kLookupTimeout = std::chrono::seconds(3);

// Silence after which the agent of an upstream that is no longer registered counts as gone. Single
// messages may be lost.
constexpr base::Duration kGoneAfter = std::chrono::seconds(1);
constexpr std::uint32_t kMinUnansweredQueries = 3;
constexpr base::Duration kMaxSilence = std::chrono::seconds(60);

/// Rounds without a reply after which an agent gets the packets.
constexpr std::uint32_t kMinRoundsBeforeCopies = 2;

constexpr std::size_t kMaxLookups = 512;
constexpr std::size_t kMaxPacketsPerLookup = 16; // the largest window of a caller
constexpr std::size_t kMaxWaitingPackets = 1024;

} // namespace

OwnerLookups::OwnerLookups(flow::Endpoint aSelf,
                           membership::FailureDetector& aFailureDetector,
                           const flow::PacketFormat& aPacketFormat,
                           const routing::ServiceTable& aServiceTable,
                           OwnershipHook aOwnershipHook)
  : mSelf(aSelf)
  , mFailureDetector(aFailureDetector)
  , mPacketFormat(aPacketFormat)
  , mServiceTable(aServiceTable)
  , mOwnershipHook(std::move(aOwnershipHook))
{
}

Actions OwnerLookups::start(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
{
  const auto found = mLookups.find(aPacket.keyFromCaller());
  const bool hasRoom =
    mWaitingPackets < kMaxWaitingPackets &&
    (found == mLookups.end() ? mLookups.size() < kMaxLookups
                             : found->second.mPackets.size() < kMaxPacketsPerLookup);
  if (!hasRoom) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  Lookup& lookup = mLookups[aPacket.keyFromCaller()];
  if (found == mLookups.end()) {
    lookup.mStartedAt = aNow;
    lookup.mNextRoundAt = aNow;
  }
  lookup.mLastPacket = aPacket;
  lookup.mIngress = aForward.mIngress;
  const bool isUndisputed = aForward.mRestartCount == 0;
  lookup.mHasSameCandidates =
    isUndisputed &&
    aForward.mCandidateDigest == routing::listedDigest(services(aPacket.keyFromCaller()));
  lookup.mPackets.push_back(std::move(aForward.mPacket));
  ++mWaitingPackets;
  return startRound(aNow);
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
  const auto silence = mSilences.find(aAgent);
  const bool isSilent = silence != mSilences.end() &&
                        silence->second.mQueries >= kMinUnansweredQueries &&
                        aNow - silence->second.mSince >= kGoneAfter;
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

void OwnerLookups::resolveOwnFlow(base::Time aNow,
                                  const flow::FlowKey& aFlow,
                                  Lookup& aLookup) const
{
  if (mOwnershipHook(aNow, aFlow) == wire::FlowOwnership::kDenied) {
    aLookup.mDeniedBy.insert(mSelf);
  }
}

Actions OwnerLookups::startRound(base::Time aNow)
{
  if (!mRoundFlows.empty() || aNow - mRoundStartedAt < kMinRoundInterval) {
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
  mRoundStartedAt = aNow;
  ++mRound;
  for (const auto& lookup : due) {
    mRoundFlows.insert(lookup->first);
    resolveOwnFlow(aNow, lookup->first, lookup->second);
    ++lookup->second.mRounds;
    for (const flow::Endpoint agent : undecidedAgents(aNow, lookup->first, lookup->second)) {
      if (agent != mSelf) {
        mQueries[agent].push_back(lookup->first);
      }
    }
  }
  if (mQueries.empty()) {
    return finishRound(aNow);
  }
  Actions actions;
  for (const auto& [agent, flows] : mQueries) {
    mFailureDetector.recordUse(aNow, agent);
    actions.emplace_back(SendMessage{ agent, wire::OwnerLookup{ mRound, flows } });
  }
  return actions;
}

Actions OwnerLookups::onReply(base::Time aNow,
                              flow::Endpoint aFrom,
                              std::uint64_t aRevision,
                              const wire::OwnerLookupReply& aReply)
{
  // A late reply answers no query any more, but shows that the agent runs.
  mFailureDetector.recordReply(aNow, aFrom);
  mSilences.erase(aFrom);
  const auto query = mQueries.find(aFrom);
  const bool isExpected = aReply.mRound == mRound && query != mQueries.end() &&
                          query->second.size() == aReply.mOwnerships.size();
  if (!isExpected) {
    return {};
  }
  Actions actions;
  for (std::size_t i = 0; i < query->second.size(); ++i) {
    const auto lookup = mLookups.find(query->second[i]);
    if (lookup == mLookups.end()) {
      continue; // another agent owns the flow
    }
    lookup->second.mNewestRevision = std::max(lookup->second.mNewestRevision, aRevision);
    if (aReply.mOwnerships[i] == wire::FlowOwnership::kOwned) {
      for (const flow::Bytes& packet : lookup->second.mPackets) {
        sendPacket(lookup->second, packet, aFrom, actions);
      }
      erase(lookup);
    } else if (aReply.mOwnerships[i] == wire::FlowOwnership::kDenied) {
      lookup->second.mDeniedBy.insert(aFrom);
    } else {
      lookup->second.mUnknownAt.insert(aFrom);
    }
  }
  mQueries.erase(query);
  if (mQueries.empty()) {
    append(actions, finishRound(aNow));
  }
  return actions;
}

Actions OwnerLookups::onTimer(base::Time aNow)
{
  Actions actions;
  if (!mRoundFlows.empty() && aNow - mRoundStartedAt >= kRoundTimeout) {
    actions = finishRound(aNow);
  }
  append(actions, startRound(aNow));
  return actions;
}

Actions OwnerLookups::finishRound(base::Time aNow)
{
  recordSilence();
  Actions actions;
  for (const flow::FlowKey& flow : std::exchange(mRoundFlows, {})) {
    conclude(aNow, flow, actions);
  }
  return actions;
}

void OwnerLookups::recordSilence()
{
  // Bounds the memory: agents that are not asked any more may never reply.
  std::erase_if(mSilences, [&](const auto& aEntry) {
    return mRoundStartedAt - aEntry.second.mSince > kMaxSilence;
  });
  for (const auto& [agent, flows] : std::exchange(mQueries, {})) {
    ++mSilences.try_emplace(agent, Silence{ mRoundStartedAt, 0 }).first->second.mQueries;
  }
}

// Each agent's denial stays valid: an upstream without the flow cannot get a flow that was
// established before. What may be missing is an upstream that only other processes list. Each of
// the processes that the packet passed, and each agent that replied, would list it.
bool OwnerLookups::isDenialComplete(const flow::FlowKey& aFlow, const Lookup& aLookup) const
{
  const config::Configuration& configuration = mServiceTable.configuration();
  const bool isUpToDate =
    aLookup.mHasSameCandidates && configuration.mRevision >= aLookup.mNewestRevision;
  const routing::CandidateServices services = this->services(aFlow);
  const bool areAllReachable =
    std::all_of(services.begin(), services.end(), [](const auto* aRoutes) {
      return aRoutes->areAllOwnersReachable();
    });
  return isUpToDate && areAllReachable && !services.empty() &&
         configuration.mIsRetainedStateComplete;
}

void OwnerLookups::conclude(base::Time aNow, const flow::FlowKey& aFlow, Actions& aActions)
{
  const auto found = mLookups.find(aFlow);
  if (found == mLookups.end()) {
    return;
  }
  Lookup& lookup = found->second;
  resolveOwnFlow(aNow, aFlow, lookup);
  const std::vector<flow::Endpoint> undecided = undecidedAgents(aNow, aFlow, lookup);
  if (undecided.empty() && isDenialComplete(aFlow, lookup)) {
    // A RST is never answered with a RST (RFC 9293, section 3.5.2).
    if (!lookup.mLastPacket.has(flow::kRst)) {
      aActions.emplace_back(SendToCaller{ mPacketFormat.mMakeReset(lookup.mLastPacket) });
      aActions.emplace_back(makeReset(aNow, aFlow, lookup));
    }
    erase(found);
    return;
  }
  copyToUndecided(aNow, lookup, undecided, aActions);
  lookup.mNextRoundAt = aNow + kRetryInterval;
  if (aNow - lookup.mStartedAt >= kLookupTimeout) {
    aActions.emplace_back(DropPacket{ DropReason::kNoOwner });
    erase(found);
  }
}

// An upstream returns the packets of a flow that it does not have, so that its agent can deny the
// flow afterwards. An agent of an earlier version does not reply to lookups, and delivers the
// packets if it owns the flow. Agents that only reply late get no packets in the first round:
// copies to all agents would be the larger load.
void OwnerLookups::copyToUndecided(base::Time aNow,
                                   Lookup& aLookup,
                                   const std::vector<flow::Endpoint>& aUndecided,
                                   Actions& aActions)
{
  // One packet suffices: an owner replies to the next round that it owns the flow.
  const auto smallest = std::min_element(
    aLookup.mPackets.begin(), aLookup.mPackets.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.size() < aRight.size();
    });
  for (const flow::Endpoint agent : aUndecided) {
    const bool isSilent = !aLookup.mUnknownAt.contains(agent);
    if (isSilent && aLookup.mRounds < kMinRoundsBeforeCopies) {
      continue;
    }
    const auto [copied, isFirst] = aLookup.mCopiedAt.try_emplace(agent, aNow);
    if (agent != mSelf && (isFirst || aNow - copied->second >= kCopyInterval)) {
      copied->second = aNow;
      sendPacket(aLookup, *smallest, agent, aActions);
    }
  }
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

Action OwnerLookups::makeReset(base::Time aNow,
                               const flow::FlowKey& aFlow,
                               const Lookup& aLookup) const
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aLookup.mStartedAt);
  return telemetry::Event{ telemetry::EventKind::kFlowReset,
                           { { "flow", aFlow.toString() },
                             { "reason", "denied_by_all" },
                             { "verdict", std::string(toString(flow::RunVerdict::kMayHaveRun)) },
                             { "candidates", std::to_string(aLookup.mDeniedBy.size()) },
                             { "rounds", std::to_string(aLookup.mRounds) },
                             { "lookup_ms", std::to_string(elapsed.count()) },
                             { "revision",
                               std::to_string(mServiceTable.configuration().mRevision) } } };
}

} // namespace cornelcross::agent
