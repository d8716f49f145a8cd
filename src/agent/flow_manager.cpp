#include "agent/flow_manager.hpp"

#include "base/safety_mechanisms.hpp"

#include <utility>

namespace cornelcross::agent {

namespace {

/// Bytes that an acknowledgement may lie behind the upstream's last one: the largest window with
/// scaling that is in common use. A stale or foreign acknowledgement fits with a chance of 1 in
/// 1024.
constexpr std::uint32_t kAckWindow = 4 * 1024 * 1024;

/// Packets handed to the upstream whose way here is kept, should it return them. It does so within
/// a millisecond, in which far fewer arrive.
constexpr std::size_t kReturnable = 1024;

/// Agents that a new flow may visit: twice as many as it may ask. Agents whose configurations
/// differ could hand it to each other without end.
constexpr std::uint8_t kMaxOpeningHops = 128;

/// True if the acknowledgement is for data that this upstream has sent. Of an adopted flow the
/// agent may have seen an old segment only, sent again, of which the caller has long had what
/// follows.
bool acknowledgementFits(const FlowRecord& aRecord, std::uint32_t aAcknowledgement)
{
  const bool isAhead = aRecord.mIsAdopted && aAcknowledgement - aRecord.mUpstreamNext <= kAckWindow;
  return !aRecord.mKnowsUpstreamNext || isAhead ||
         aRecord.mUpstreamNext - aAcknowledgement <= kAckWindow;
}

/// True if the segment belongs to the connection that the record's SYN opens.
bool isOfAttempt(const FlowRecord& aRecord, const flow::TcpPacket& aPacket)
{
  return aPacket.mSequence - aRecord.mCallerInitial <= kAckWindow;
}

} // namespace

FlowManager::FlowManager(const AgentSettings& aSettings, flow::PacketFormat aPacketFormat)
  : mSettings(aSettings)
  , mPacketFormat(std::move(aPacketFormat))
  , mConfiguration(std::make_shared<const config::Configuration>())
  , mAdmission(aSettings.mAdmission)
  , mPending(aSettings.mAdmission.mMaxQueued, aSettings.mAdmission.mMaxQueued)
  , mChain(mFailureDetector, mPacketFormat, mSettings.mSelf)
  , mReturnable(kReturnable)
  , mKeepAlive(aSettings.mKeepAlive)
{
}

Actions FlowManager::apply(base::Time aNow, config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision < revision()) {
    return {};
  }
  const bool isFirst = !mStarted;
  mStarted = mStarted.value_or(aNow);
  mConfiguration = std::move(aConfiguration);
  const auto before = std::exchange(mUpstream, std::nullopt);
  const std::uint64_t serviceBefore = mService;
  const flow::Endpoint addressBefore = mServiceAddress;
  const std::uint64_t identity = before ? before->mIdentity : 0;
  mReportTargets.clear();
  mReporters.clear();
  mAdmission.clearLoadReports();
  std::string chained;
  for (const auto& [name, service] : mConfiguration->mServices) {
    for (const auto& upstream : service.mUpstreams) {
      if (upstream.mAgent == mSettings.mSelf) {
        mUpstream = upstream;
        mServiceAddress = service.mAddress;
        mServiceName = name;
        mService = config::upstreamIdentity(name, "");
        mAdmission.configure(aNow,
                             upstream.mSlots,
                             mConfiguration->acceptsNewFlows(upstream),
                             upstream.mState == config::UpstreamState::kJoining,
                             service.mColdStart);
        collectReporters(service);
        chained = name;
      }
    }
  }
  mChain.configure(mConfiguration, std::move(chained));
  Actions actions;
  // Another VM, or the same one for another service, has none of the flows that are on record.
  const bool isAnother = before && mUpstream &&
                         (before->mAddress != mUpstream->mAddress || serviceBefore != mService ||
                          addressBefore != mServiceAddress);
  if (isAnother) {
    actions = releaseFlows(aNow);
  }
  const bool hasRestarted = before && mUpstream && before->mStartedAtMs != mUpstream->mStartedAtMs;
  if (mUpstream && (isAnother || hasRestarted || mUpstream->mIdentity != identity)) {
    mAdmission.onUpstreamRestarted(aNow);
  }
  mSawUpstreamStart = sawUpstreamStart(isFirst, hasRestarted, before.has_value());
  if (before != mUpstream) {
    actions.emplace_back(assignment());
  }
  return actions;
}

// An upstream that appeared or started again while this agent was there has had no flow without it.
bool FlowManager::sawUpstreamStart(bool aIsFirst, bool aHasRestarted, bool aWasListed) const
{
  if (!mUpstream || mSettings.mStartedAtMs == 0) {
    return false;
  }
  const bool isYounger = mUpstream->mStartedAtMs >= mSettings.mStartedAtMs;
  const bool hasAppeared = !aIsFirst && !aWasListed && isYounger;
  return hasAppeared || aHasRestarted || mSawUpstreamStart;
}

Actions FlowManager::releaseFlows(base::Time aNow)
{
  Actions actions;
  mFlows.eraseIf([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    actions.emplace_back(close(aNow, aFlow, aRecord, "upstream_replaced"));
    return true;
  });
  for (const wire::Forward& forward : mPending.removeFlowsOlderThan(base::Time::max())) {
    append(actions, refuse(forward));
  }
  mUpstreamQueries.clear();
  mUpstreamWatch = {};
  mStarted = aNow;
  return actions;
}

telemetry::Event FlowManager::assignment() const
{
  if (!mUpstream) {
    return { telemetry::EventKind::kUpstreamAssigned, { { "upstream", "none" } } };
  }
  return { telemetry::EventKind::kUpstreamAssigned,
           { { "upstream", mUpstream->mName },
             { "service", mServiceName },
             { "zone", mUpstream->mZone },
             { "state", std::string(toString(mUpstream->mState)) } } };
}

void FlowManager::collectReporters(const config::Service& aService)
{
  for (const auto& upstream : aService.mUpstreams) {
    if (upstream.mAgent != mSettings.mSelf && mConfiguration->acceptsNewFlows(upstream)) {
      mReportTargets.push_back(upstream.mAgent);
      mReporters.insert(upstream.mIdentity);
    }
  }
}

Actions FlowManager::onForward(base::Time aNow, std::uint64_t aRevision, wire::Forward aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  if (packet->isInitialSyn() && ++aForward.mHops > kMaxOpeningHops) {
    return { DropPacket{ DropReason::kTooManyHops } };
  }
  if (!mUpstream) {
    return passUnserved(aNow, *packet, std::move(aForward), DropReason::kNotConfigured);
  }
  const bool isServed = mConfiguration->serves(mServiceName, packet->mDestination);
  const bool isForeign = aForward.mService != 0 && aForward.mService != mService;
  if (isForeign && base::safetyMechanisms().mCheckService) {
    return passUnserved(aNow, *packet, std::move(aForward), DropReason::kForeignService);
  }
  if (!isServed && base::safetyMechanisms().mCheckService) {
    return { DropPacket{ DropReason::kForeignService } };
  }
  if (packet->isInitialSyn() &&
      !mConfiguration->servesNewFlows(mServiceName, packet->mDestination) &&
      base::safetyMechanisms().mCheckService) {
    return passUnserved(aNow, *packet, std::move(aForward), DropReason::kForeignService);
  }
  if (!mConfiguration->acceptsPackets(*mUpstream)) {
    return passUnserved(aNow, *packet, std::move(aForward), DropReason::kZoneOut);
  }
  // A denial counts only under the configuration that the sender used to list the candidates.
  aForward.mIsDeniedByAll = aForward.mIsDeniedByAll && aRevision == revision();
  if (!base::safetyMechanisms().mForwardUnowned && !packet->isInitialSyn()) {
    aForward.mCandidates.resize(aForward.mCandidateIndex + std::size_t{ 1 });
    aForward.mIsLastPage = false;
    aForward.mIsCopy = true;
  }
  return packet->isInitialSyn() ? onSyn(aNow, *packet, std::move(aForward))
                                : onSegment(aNow, *packet, std::move(aForward));
}

// The sender knew another configuration. Others behind this agent may still serve the flow; it has
// no say in whether somebody owns it.
Actions FlowManager::passUnserved(base::Time aNow,
                                  const flow::TcpPacket& aPacket,
                                  wire::Forward aForward,
                                  DropReason aReason)
{
  const bool mayGoOn = !aPacket.isInitialSyn() || mChain.hasNext(aForward);
  const bool isInLine = aForward.mOwnershipQuery == wire::OwnershipQuery::kNone && mayGoOn;
  if (!isInLine || mFlows.find(aPacket.keyFromCaller()) != nullptr) {
    return { DropPacket{ aReason } };
  }
  aForward.mIsDeniedByAll = false;
  // The best of those asked before may have been this agent.
  aForward.mPlacement = {};
  return mChain.pass(aNow, aPacket, std::move(aForward));
}

Actions FlowManager::passWhileStarting(base::Time aNow, wire::Forward aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  // A packet that was sent here on purpose, not to the next in line, would only come back.
  const bool isInLine = aForward.mOwnershipQuery == wire::OwnershipQuery::kNone &&
                        aForward.mPlacement.mRound == wire::PlacementRound::kBoundedLoad;
  if (!isInLine || !mChain.hasNext(aForward)) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  Actions actions;
  if (!packet->isInitialSyn()) {
    actions = Chain::addPossibleOwner(mSettings.mSelf, aForward);
  }
  append(actions, mChain.pass(aNow, *packet, std::move(aForward)));
  return actions;
}

Actions FlowManager::onSegment(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  FlowRecord* record = mFlows.find(key);
  if (record == nullptr) {
    return onUnrecorded(aNow, aPacket, std::move(aForward));
  }
  const bool fits =
    !aPacket.has(flow::kAck) || acknowledgementFits(*record, aPacket.mAcknowledgement);
  if (record->mState == FlowState::kHalfOpen) {
    // The caller acknowledged another upstream's SYN: that one owns the flow.
    const bool isOwned = record->mIsAnswered && aPacket.has(flow::kAck) &&
                         aPacket.mAcknowledgement == record->mUpstreamNext;
    const bool isReset = aPacket.has(flow::kRst) && aPacket.mSequence == record->mCallerInitial + 1;
    if (!isOwned && !isReset && !isOfAttempt(*record, aPacket)) {
      // Left over from an earlier connection of this port; says nothing about this one.
      return mChain.pass(aNow, aPacket, std::move(aForward));
    }
    if (!isOwned && !isReset) {
      Actions actions = abandonHalfOpen(aNow, key, *record);
      append(actions, mChain.pass(aNow, aPacket, std::move(aForward)));
      return actions;
    }
    record->mState = isReset ? record->mState : FlowState::kEstablished;
  } else if (!fits) {
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  if (mustWait(*record, aPacket)) {
    return queueRequest(aNow, *record, aPacket, std::move(aForward));
  }
  return deliver(aNow, *record, aPacket, aForward);
}

bool FlowManager::recordsAreComplete(base::Time aNow) const
{
  return mSawUpstreamStart || (mStarted && aNow - *mStarted >= mSettings.mRecoveryWindow);
}

Actions FlowManager::onUnrecorded(base::Time aNow,
                                  const flow::TcpPacket& aPacket,
                                  wire::Forward aForward)
{
  if (mPacketFormat.returnsPackets()) {
    return askUpstream(aNow, aPacket, std::move(aForward));
  }
  if (aForward.mOwnershipQuery != wire::OwnershipQuery::kNone) {
    return onInquiry(aNow, aPacket, std::move(aForward));
  }
  Actions actions;
  const bool isUnsure = base::safetyMechanisms().mAdoptFlows && !recordsAreComplete(aNow) &&
                        !mUpstreamQueries.isDenied(aNow, aPacket.keyFromCaller());
  if (isUnsure) {
    actions = Chain::addPossibleOwner(mSettings.mSelf, aForward);
  }
  append(actions, mChain.pass(aNow, aPacket, std::move(aForward)));
  return actions;
}

Actions FlowManager::onInquiry(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  const bool isFinal = aForward.mOwnershipQuery == wire::OwnershipQuery::kDecisive;
  if (!mUpstreamQueries.ask(aNow, aPacket.keyFromCaller(), isFinal)) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  Actions actions;
  if (aPacket.mPayloadLength == 0 && !aPacket.has(flow::kFin) && !aPacket.has(flow::kRst)) {
    // An acceptable bare ACK is not answered; a segment before the window is (RFC 9293, section
    // 3.10.7.4), so that a flow of which only the caller is heard becomes known at once.
    flow::Bytes keepAlive = aForward.mPacket;
    mPacketFormat.mSetSequence(keepAlive, aPacket, aPacket.mSequence - 1);
    actions.emplace_back(DeliverToUpstream{ mUpstream->mAddress, std::move(keepAlive) });
  }
  actions.insert(actions.begin(),
                 DeliverToUpstream{ mUpstream->mAddress, std::move(aForward.mPacket) });
  return actions;
}

Actions FlowManager::deliver(base::Time aNow,
                             FlowRecord& aRecord,
                             const flow::TcpPacket& aPacket,
                             const wire::Forward& aForward)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  aRecord.mLastSeen = aNow;
  // Whether payload is new is judged by what was seen before this segment.
  trackCallerPayload(aNow, aRecord, aPacket);
  noteCaller(aNow, aRecord, aPacket.nextSequence());
  Actions actions;
  actions.emplace_back(DeliverToUpstream{ mUpstream->mAddress, aForward.mPacket });
  sendOwnerUpdate(key, aForward, actions);
  if (aPacket.has(flow::kRst)) {
    actions.emplace_back(close(aNow, key, aRecord, "caller_reset"));
    mFlows.erase(key);
    return actions;
  }
  aRecord.mHasCallerFin = aRecord.mHasCallerFin || aPacket.has(flow::kFin);
  if (aRecord.mHasCallerFin && aRecord.mHasUpstreamFin) {
    beginClosing(aNow, aRecord);
  }
  return actions;
}

// The balancer need not be told what it guessed right.
void FlowManager::sendOwnerUpdate(const flow::FlowKey& aFlow,
                                  const wire::Forward& aForward,
                                  Actions& aActions)
{
  const bool isNamedAlone = aForward.mPage == wire::kNoPage;
  const bool isFirstListed =
    aForward.mCandidateIndex == 0 && aForward.mPage == 0 && !aForward.mIsListFromAgent;
  if (!isNamedAlone && !isFirstListed && aForward.mIngress.mPort != 0) {
    aActions.emplace_back(
      SendMessage{ aForward.mIngress, wire::OwnerUpdate{ aFlow, mSettings.mSelf } });
  }
}

void FlowManager::trackCallerPayload(base::Time aNow,
                                     FlowRecord& aRecord,
                                     const flow::TcpPacket& aPacket)
{
  if (!isNewPayload(aRecord, aPacket) || aRecord.mState == FlowState::kClosing) {
    return;
  }
  aRecord.mCallerNext = aPacket.nextSequence();
  aRecord.mKnowsCallerNext = true;
  if (aRecord.mIsBusy || aRecord.mIsOneWay || aRecord.mHasQueuedRequest) {
    return;
  }
  noteFirstRequest(aNow, aRecord);
  aRecord.mIsBusy = true;
  aRecord.mBusySince = aNow;
  mAdmission.onRequestStarted(aNow, aRecord.mIsExpected);
  aRecord.mIsExpected = false;
}

Actions FlowManager::abandonHalfOpen(base::Time aNow,
                                     const flow::FlowKey& aFlow,
                                     const FlowRecord& aRecord)
{
  const telemetry::Event closed = close(aNow, aFlow, aRecord, "owned_elsewhere");
  if (!mPacketFormat.mMakeEmptySegment) {
    mFlows.erase(aFlow);
    return { closed };
  }
  // RST in the caller's name, at the sequence number that the upstream expects next.
  flow::TcpPacket answer;
  answer.mSource = aFlow.mService;
  answer.mDestination = aFlow.mCaller;
  answer.mFlags = flow::kAck;
  answer.mAcknowledgement = aRecord.mCallerInitial + 1;
  mFlows.erase(aFlow);
  return { DeliverToUpstream{ mUpstream->mAddress, mPacketFormat.mMakeReset(answer) }, closed };
}

} // namespace cornelcross::agent
