#include "agent/flow_manager.hpp"

#include "base/safety_mechanisms.hpp"

#include <utility>

namespace cornelcross::agent {

namespace {

/// Bytes that an acknowledgement may lie behind the upstream's last one: the largest window with
/// scaling that is in common use. A stale or foreign acknowledgement fits with a chance of 1 in
/// 1024.
constexpr std::uint32_t kAckWindowBytes = 4 * 1024 * 1024;

/// Packets handed to the upstream whose way here is kept, should it return them. It does so within
/// a millisecond, in which far fewer arrive.
constexpr std::size_t kMaxReturnablePackets = 1024;

/// Agents that a new flow may visit: twice as many as it may ask. Agents whose configurations
/// differ could hand it to each other without end.
constexpr std::uint8_t kMaxNewFlowHops = 128;

/// True if the acknowledgement is for data that this upstream has sent. Of an adopted flow the
/// agent may have seen an old segment only, sent again, of which the caller has long had what
/// follows.
bool acknowledgementFits(const FlowRecord& aRecord, std::uint32_t aAcknowledgement)
{
  const bool isAhead =
    aRecord.mIsAdopted && aAcknowledgement - aRecord.mUpstreamNextSequence <= kAckWindowBytes;
  return !aRecord.mIsUpstreamNextValid || isAhead ||
         aRecord.mUpstreamNextSequence - aAcknowledgement <= kAckWindowBytes;
}

/// True if the segment belongs to the connection that the record's SYN opens.
bool isSameAttempt(const FlowRecord& aRecord, const flow::TcpPacket& aPacket)
{
  return aPacket.mSequence - aRecord.mCallerInitialSequence <= kAckWindowBytes;
}

} // namespace

FlowManager::FlowManager(const AgentSettings& aSettings, flow::PacketFormat aPacketFormat)
  : mSettings(aSettings)
  , mPacketFormat(std::move(aPacketFormat))
  , mConfiguration(std::make_shared<const config::Configuration>())
  , mAdmission(aSettings.mAdmission)
  , mAdmissionQueue(aSettings.mAdmission.mMaxQueued, aSettings.mAdmission.mMaxQueued)
  , mCandidateForwarder(mFailureDetector, mPacketFormat, mSettings.mSelf)
  , mReturnablePackets(kMaxReturnablePackets)
  , mKeepAliveProber(aSettings.mKeepAlive)
{
}

Actions FlowManager::apply(base::Time aNow, config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision < revision()) {
    return {};
  }
  const bool isFirst = !mRecoveryStart;
  mRecoveryStart = mRecoveryStart.value_or(aNow);
  mConfiguration = std::move(aConfiguration);
  const auto before = std::exchange(mUpstream, std::nullopt);
  const std::uint64_t serviceBefore = mServiceHash;
  const flow::Endpoint addressBefore = mServiceAddress;
  const std::uint64_t identity = before ? before->mIdentity : 0;
  mReportTargets.clear();
  mReportingUpstreams.clear();
  mAdmission.clearLoadReports();
  std::string serviceName;
  for (const auto& [name, service] : mConfiguration->mServices) {
    for (const auto& upstream : service.mUpstreams) {
      if (upstream.mAgent == mSettings.mSelf) {
        mUpstream = upstream;
        mServiceAddress = service.mAddress;
        mServiceName = name;
        mServiceHash = config::upstreamIdentity(name, "");
        mAdmission.configure(aNow,
                             upstream.mSlots,
                             mConfiguration->acceptsNewFlows(upstream),
                             upstream.mState == config::UpstreamState::kJoining,
                             service.mColdStart);
        updateReportTargets(service);
        serviceName = name;
      }
    }
  }
  mCandidateForwarder.configure(mConfiguration, std::move(serviceName));
  Actions actions;
  // Another VM, or the same one for another service, has none of the flows that are on record.
  const bool isReplaced = before && mUpstream &&
                          (before->mAddress != mUpstream->mAddress ||
                           serviceBefore != mServiceHash || addressBefore != mServiceAddress);
  if (isReplaced) {
    actions = closeAllFlows(aNow);
  }
  const bool hasRestarted = before && mUpstream && before->mStartedAtMs != mUpstream->mStartedAtMs;
  if (mUpstream && (isReplaced || hasRestarted || mUpstream->mIdentity != identity)) {
    mAdmission.onUpstreamRestarted(aNow);
  }
  mHasSeenUpstreamStart = hasSeenUpstreamStart(isFirst, hasRestarted, before.has_value());
  if (before != mUpstream) {
    actions.emplace_back(assignmentEvent());
  }
  return actions;
}

// An upstream that appeared or started again while this agent was there has had no flow without it.
bool FlowManager::hasSeenUpstreamStart(bool aIsFirst, bool aHasRestarted, bool aWasListed) const
{
  if (!mUpstream || mSettings.mStartedAtMs == 0) {
    return false;
  }
  const bool isStartedLater = mUpstream->mStartedAtMs >= mSettings.mStartedAtMs;
  const bool hasAppeared = !aIsFirst && !aWasListed && isStartedLater;
  return hasAppeared || aHasRestarted || mHasSeenUpstreamStart;
}

Actions FlowManager::closeAllFlows(base::Time aNow)
{
  Actions actions;
  mFlows.eraseIf([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    actions.emplace_back(closeFlow(aNow, aFlow, aRecord, "upstream_replaced"));
    return true;
  });
  for (const wire::Forward& forward : mAdmissionQueue.removeFlowsOlderThan(base::Time::max())) {
    append(actions, refuseQueuedFlow(forward));
  }
  mUpstreamQueries.clear();
  mUpstreamHealth = {};
  mRecoveryStart = aNow;
  return actions;
}

telemetry::Event FlowManager::assignmentEvent() const
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

void FlowManager::updateReportTargets(const config::Service& aService)
{
  for (const auto& upstream : aService.mUpstreams) {
    if (upstream.mAgent != mSettings.mSelf && mConfiguration->acceptsNewFlows(upstream)) {
      mReportTargets.push_back(upstream.mAgent);
      mReportingUpstreams.insert(upstream.mIdentity);
    }
  }
}

Actions FlowManager::onForward(base::Time aNow, std::uint64_t aRevision, wire::Forward aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  if (packet->isInitialSyn() && ++aForward.mHops > kMaxNewFlowHops) {
    return { DropPacket{ DropReason::kTooManyHops } };
  }
  if (!mUpstream) {
    return forwardUnserved(aNow, *packet, std::move(aForward), DropReason::kNotConfigured);
  }
  const bool isServed = mConfiguration->serves(mServiceName, packet->mDestination);
  const bool isForeign = aForward.mService != 0 && aForward.mService != mServiceHash;
  if (isForeign && base::safetyMechanisms().mCheckService) {
    return forwardUnserved(aNow, *packet, std::move(aForward), DropReason::kForeignService);
  }
  if (!isServed && base::safetyMechanisms().mCheckService) {
    return { DropPacket{ DropReason::kForeignService } };
  }
  if (packet->isInitialSyn() &&
      !mConfiguration->servesNewFlows(mServiceName, packet->mDestination) &&
      base::safetyMechanisms().mCheckService) {
    return forwardUnserved(aNow, *packet, std::move(aForward), DropReason::kForeignService);
  }
  if (!mConfiguration->acceptsPackets(*mUpstream)) {
    return forwardUnserved(aNow, *packet, std::move(aForward), DropReason::kZoneOut);
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
Actions FlowManager::forwardUnserved(base::Time aNow,
                                     const flow::TcpPacket& aPacket,
                                     wire::Forward aForward,
                                     DropReason aReason)
{
  const bool mayContinue =
    !aPacket.isInitialSyn() || mCandidateForwarder.hasNextCandidate(aForward);
  const bool isRegularForward =
    aForward.mOwnershipQuery == wire::OwnershipQuery::kNone && mayContinue;
  if (!isRegularForward || mFlows.find(aPacket.keyFromCaller()) != nullptr) {
    return { DropPacket{ aReason } };
  }
  aForward.mIsDeniedByAll = false;
  // The best of those asked before may have been this agent.
  aForward.mPlacement = {};
  return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
}

Actions FlowManager::onForwardWhileStarting(base::Time aNow, wire::Forward aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  // A packet that was sent here on purpose, not to the next in line, would only come back.
  const bool isRegularForward = aForward.mOwnershipQuery == wire::OwnershipQuery::kNone &&
                                aForward.mPlacement.mRound == wire::PlacementRound::kBoundedLoad;
  if (!isRegularForward || !mCandidateForwarder.hasNextCandidate(aForward)) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  Actions actions;
  if (!packet->isInitialSyn()) {
    actions = CandidateForwarder::addPossibleOwner(mSettings.mSelf, aForward);
  }
  append(actions, mCandidateForwarder.forward(aNow, *packet, std::move(aForward)));
  return actions;
}

Actions FlowManager::onSegment(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  FlowRecord* record = mFlows.find(key);
  if (record == nullptr) {
    return onUnrecordedSegment(aNow, aPacket, std::move(aForward));
  }
  const bool fits =
    !aPacket.has(flow::kAck) || acknowledgementFits(*record, aPacket.mAcknowledgement);
  if (record->mState == FlowState::kHalfOpen) {
    // The caller acknowledged another upstream's SYN: that one owns the flow.
    const bool isOwned = record->mHasSynAck && aPacket.has(flow::kAck) &&
                         aPacket.mAcknowledgement == record->mUpstreamNextSequence;
    const bool isReset =
      aPacket.has(flow::kRst) && aPacket.mSequence == record->mCallerInitialSequence + 1;
    if (!isOwned && !isReset && !isSameAttempt(*record, aPacket)) {
      // Left over from an earlier connection of this port; says nothing about this one.
      return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
    }
    if (!isOwned && !isReset) {
      Actions actions = abortHalfOpen(aNow, key, *record);
      append(actions, mCandidateForwarder.forward(aNow, aPacket, std::move(aForward)));
      return actions;
    }
    record->mState = isReset ? record->mState : FlowState::kEstablished;
  } else if (!fits) {
    return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
  }
  if (mustQueueRequest(*record, aPacket)) {
    return queueRequest(aNow, *record, aPacket, std::move(aForward));
  }
  return deliver(aNow, *record, aPacket, aForward);
}

bool FlowManager::areRecordsComplete(base::Time aNow) const
{
  return mHasSeenUpstreamStart ||
         (mRecoveryStart && aNow - *mRecoveryStart >= mSettings.mRecoveryWindow);
}

Actions FlowManager::onUnrecordedSegment(base::Time aNow,
                                         const flow::TcpPacket& aPacket,
                                         wire::Forward aForward)
{
  if (mPacketFormat.returnsPackets()) {
    return queryUpstream(aNow, aPacket, std::move(aForward));
  }
  if (aForward.mOwnershipQuery != wire::OwnershipQuery::kNone) {
    return onOwnershipQuery(aNow, aPacket, std::move(aForward));
  }
  Actions actions;
  const bool mayOwnFlow = base::safetyMechanisms().mAdoptFlows && !areRecordsComplete(aNow) &&
                          !mUpstreamQueries.isDenied(aNow, aPacket.keyFromCaller());
  if (mayOwnFlow) {
    actions = CandidateForwarder::addPossibleOwner(mSettings.mSelf, aForward);
  }
  append(actions, mCandidateForwarder.forward(aNow, aPacket, std::move(aForward)));
  return actions;
}

Actions FlowManager::onOwnershipQuery(base::Time aNow,
                                      const flow::TcpPacket& aPacket,
                                      wire::Forward aForward)
{
  const bool isDecisive = aForward.mOwnershipQuery == wire::OwnershipQuery::kDecisive;
  if (!mUpstreamQueries.start(aNow, aPacket.keyFromCaller(), isDecisive)) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  Actions actions;
  if (aPacket.mPayloadLength == 0 && !aPacket.has(flow::kFin) && !aPacket.has(flow::kRst)) {
    // An acceptable bare ACK is not answered; a segment before the window is (RFC 9293, section
    // 3.10.7.4), so that a flow of which only the caller is heard becomes known at once.
    flow::Bytes belowWindow = aForward.mPacket;
    mPacketFormat.mSetSequence(belowWindow, aPacket, aPacket.mSequence - 1);
    actions.emplace_back(DeliverToUpstream{ mUpstream->mAddress, std::move(belowWindow) });
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
  aRecord.mLastPacketAt = aNow;
  // Whether payload is new is judged by what was seen before this segment.
  trackCallerPayload(aNow, aRecord, aPacket);
  recordCallerPacket(aNow, aRecord, aPacket.nextSequence());
  Actions actions;
  actions.emplace_back(DeliverToUpstream{ mUpstream->mAddress, aForward.mPacket });
  sendOwnerUpdate(key, aForward, actions);
  if (aPacket.has(flow::kRst)) {
    actions.emplace_back(closeFlow(aNow, key, aRecord, "caller_reset"));
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
  const bool isOnlyCandidate = aForward.mPage == wire::kNoPage;
  const bool isFirstListed =
    aForward.mCandidateIndex == 0 && aForward.mPage == 0 && !aForward.mIsListFromAgent;
  if (!isOnlyCandidate && !isFirstListed && aForward.mIngress.mPort != 0) {
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
  aRecord.mCallerNextSequence = aPacket.nextSequence();
  aRecord.mIsCallerNextValid = true;
  if (aRecord.mHasActiveRequest || aRecord.mIsUnidirectional || aRecord.mHasQueuedRequest) {
    return;
  }
  recordFirstRequest(aNow, aRecord);
  aRecord.mHasActiveRequest = true;
  aRecord.mRequestStartedAt = aNow;
  mAdmission.onRequestStarted(aNow, aRecord.mAwaitsFirstRequest);
  aRecord.mAwaitsFirstRequest = false;
}

Actions FlowManager::abortHalfOpen(base::Time aNow,
                                   const flow::FlowKey& aFlow,
                                   const FlowRecord& aRecord)
{
  const telemetry::Event closed = closeFlow(aNow, aFlow, aRecord, "owned_elsewhere");
  if (!mPacketFormat.mMakeEmptySegment) {
    mFlows.erase(aFlow);
    return { closed };
  }
  // RST in the caller's name, at the sequence number that the upstream expects next.
  flow::TcpPacket answer;
  answer.mSource = aFlow.mService;
  answer.mDestination = aFlow.mCaller;
  answer.mFlags = flow::kAck;
  answer.mAcknowledgement = aRecord.mCallerInitialSequence + 1;
  mFlows.erase(aFlow);
  return { DeliverToUpstream{ mUpstream->mAddress, mPacketFormat.mMakeReset(answer) }, closed };
}

} // namespace cornelcross::agent
