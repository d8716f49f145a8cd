#include "agent/flow_manager.hpp"

#include "base/safety_mechanisms.hpp"

#include <utility>

namespace cornelcross::agent {

namespace {

/// Delivered packets whose Forward header is stored, in case the upstream returns them. The
/// upstream returns a packet within a millisecond, in which far fewer packets arrive.
constexpr std::size_t kMaxReturnablePackets = 1024;

/// Hops of a new flow: twice as many as the candidates that it may visit. Without the bound, agents
/// with different configurations could forward the flow to each other endlessly.
constexpr std::uint8_t kMaxNewFlowHops = 128;

/// True if the acknowledgement is for data that this upstream has sent. In an adopted flow, the
/// agent may have seen only a retransmission of an old segment, while the caller has received and
/// acknowledges later data.
bool acknowledgementFits(const FlowRecord& aRecord, std::uint32_t aAcknowledgement)
{
  const bool isAhead =
    aRecord.mIsAdopted && aAcknowledgement - aRecord.mUpstreamNextSequence <= kAckWindowBytes;
  return !aRecord.mIsUpstreamNextValid || isAhead ||
         aRecord.mUpstreamNextSequence - aAcknowledgement <= kAckWindowBytes;
}

/// True if the segment belongs to the connection attempt of the record's SYN.
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
  , mCandidateForwarder(
      mFailureDetector,
      mPacketFormat,
      mSettings.mSelf,
      [this](base::Time aNow, const flow::FlowKey& aFlow) { return ownershipOf(aNow, aFlow); },
      static_cast<std::uint32_t>(mSettings.mStartedAtMs))
  , mReturnablePackets(kMaxReturnablePackets)
  , mUpstreamWatch(aSettings.upstreamWatch())
  , mKeepAliveProber(aSettings.mKeepAlive)
  , mEvidence(aSettings.mRecoveryWindow, aSettings.mUpstreamAddress, aSettings.mUpstreamAcceptsTcp)
{
}

Actions FlowManager::apply(base::Time aNow, config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision < revision()) {
    return {};
  }
  mConfiguration = std::move(aConfiguration);
  const auto previous = std::exchange(mUpstream, std::nullopt);
  const std::uint64_t previousServiceHash = mServiceHash;
  const flow::Endpoint previousAddress = mServiceAddress;
  const std::uint64_t previousIdentity = previous ? previous->mIdentity : 0;
  mReportTargets.clear();
  mReportingUpstreams.clear();
  mAdmission.clearLoadReports();
  Actions actions = assignUpstream(aNow);
  mCandidateForwarder.configure(mConfiguration, mUpstream ? mServiceName : std::string());
  // Another VM, or the same VM for another service, owns none of the recorded flows.
  const bool isReplaced =
    previous && mUpstream &&
    (previous->mAddress != mUpstream->mAddress || previousServiceHash != mServiceHash ||
     previousAddress != mServiceAddress);
  if (isReplaced) {
    append(actions, closeAllFlows(aNow));
  }
  mEvidence.assign(
    aNow, mUpstream ? std::optional(mUpstream->mAddress) : std::nullopt, mServiceHash);
  const bool hasRestarted =
    previous && mUpstream && previous->mStartedAtMs != mUpstream->mStartedAtMs;
  if (mUpstream && (isReplaced || hasRestarted || mUpstream->mIdentity != previousIdentity)) {
    mAdmission.onUpstreamRestarted(aNow);
  }
  if (previous != mUpstream) {
    actions.emplace_back(assignmentEvent());
  }
  const bool isListed = mUpstream && mUpstream->mState != config::UpstreamState::kRemoved;
  const bool isSameStart = previous && mUpstream && previous->mIdentity == mUpstream->mIdentity &&
                           previous->mStartedAtMs == mUpstream->mStartedAtMs;
  mIsEndReported = mIsEndReported && isSameStart;
  mUpstreamWatch.list(
    aNow,
    isListed ? std::optional(ListedStart{ mUpstream->mIdentity, mUpstream->mStartedAtMs })
             : std::nullopt);
  append(actions, presenceEvents(aNow));
  append(actions, watchUpstream(aNow));
  return actions;
}

Actions FlowManager::assignUpstream(base::Time aNow)
{
  Actions actions;
  std::optional<config::Upstream> foreign;
  for (const auto& [name, service] : mConfiguration->mServices) {
    for (const auto& upstream : service.mUpstreams) {
      if (upstream.mAgent != mSettings.mSelf) {
        continue;
      }
      if (!isBesideThisAgent(name, upstream)) {
        foreign = upstream;
        if (foreign != mForeignUpstream) {
          actions.emplace_back(mismatchEvent(name, upstream));
        }
        continue;
      }
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
    }
  }
  mForeignUpstream = std::move(foreign);
  return actions;
}

// An address is used again once its VM is gone, and the configuration may be older than this VM.
bool FlowManager::isBesideThisAgent(const std::string& aService,
                                    const config::Upstream& aUpstream) const
{
  const bool isOwnService = mSettings.mService.empty() || mSettings.mService == aService;
  return isOwnService &&
         mSettings.mUpstreamAddress.value_or(aUpstream.mAddress) == aUpstream.mAddress;
}

telemetry::Event FlowManager::mismatchEvent(const std::string& aService,
                                            const config::Upstream& aUpstream) const
{
  const flow::Endpoint expected = mSettings.mUpstreamAddress.value_or(aUpstream.mAddress);
  return { telemetry::EventKind::kUpstreamMismatched,
           { { "upstream", aUpstream.mName },
             { "service", aService },
             { "expected_service", mSettings.mService.empty() ? aService : mSettings.mService },
             { "address", aUpstream.mAddress.toString() },
             { "expected_address", expected.toString() },
             { "started_at_ms", std::to_string(aUpstream.mStartedAtMs) },
             { "revision", std::to_string(revision()) } } };
}

Actions FlowManager::closeAllFlows(base::Time aNow)
{
  Actions actions;
  mFlows.eraseIf([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    actions.emplace_back(closeFlow(aNow, aFlow, aRecord, "upstream_replaced"));
    return true;
  });
  for (const wire::Forward& forward : mAdmissionQueue.removeAllFlows()) {
    append(actions, refuseQueuedFlow(forward));
  }
  mUpstreamQueries.clear();
  mUpstreamHealth = {};
  mFlapDetector = {};
  mEvidence.restart(aNow);
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
             { "state", std::string(toString(mUpstream->mState)) },
             { "address", mUpstream->mAddress.toString() },
             { "started_at_ms", std::to_string(mUpstream->mStartedAtMs) },
             { "revision", std::to_string(revision()) } } };
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
  // A denial counts only if sender and receiver have the same configuration, since the sender's
  // configuration determined the candidates.
  aForward.mIsDeniedByAll = aForward.mIsDeniedByAll && aRevision == revision();
  if (!base::safetyMechanisms().mForwardUnowned && !packet->isInitialSyn()) {
    aForward.mCandidates.resize(aForward.mCandidateIndex + std::size_t{ 1 });
    aForward.mIsLastPage = false;
    aForward.mIsCopy = true;
  }
  return packet->isInitialSyn() ? onSyn(aNow, *packet, std::move(aForward))
                                : onSegment(aNow, *packet, std::move(aForward));
}

// The sender has another configuration. Further candidates may serve the flow. This agent neither
// owns nor denies the flow.
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
  // The best of the visited candidates may have been this agent, so the placement starts again.
  aForward.mPlacement = {};
  return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
}

Actions FlowManager::onForwardWhileStarting(base::Time aNow, wire::Forward aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  // Further candidates would only send an ownership query or a packet for the best candidate back
  // to this agent, which the sender selected on purpose.
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
    const bool isOwned = record->mHasSynAck && aPacket.has(flow::kAck) &&
                         aPacket.mAcknowledgement == record->mUpstreamNextSequence;
    const bool isReset =
      aPacket.has(flow::kRst) && aPacket.mSequence == record->mCallerInitialSequence + 1;
    if (!isOwned && !isReset && !isSameAttempt(*record, aPacket)) {
      // The segment is left over from an earlier connection of this port and proves nothing about
      // the current connection.
      return forwardUnowned(aNow, aPacket, std::move(aForward));
    }
    if (!isOwned && !isReset) {
      // The caller acknowledged the SYN of another upstream, which owns the flow, or the record was
      // made for a late copy of the SYN of an open flow.
      Actions actions = abortHalfOpen(aNow, key, *record);
      append(actions, onUnrecordedSegment(aNow, aPacket, std::move(aForward)));
      return actions;
    }
    record->mState = isReset ? record->mState : FlowState::kEstablished;
  } else if (!fits) {
    return forwardUnowned(aNow, aPacket, std::move(aForward));
  }
  if (mustQueueRequest(*record, aPacket)) {
    return queueRequest(aNow, *record, aPacket, std::move(aForward));
  }
  return deliver(aNow, *record, aPacket, aForward);
}

// A record that the segment does not fit denies the flow as little as no record does.
Actions FlowManager::forwardUnowned(base::Time aNow,
                                    const flow::TcpPacket& aPacket,
                                    wire::Forward aForward)
{
  aForward.mIsDeniedByAll = aForward.mIsDeniedByAll && mayDeny(aNow, aPacket.keyFromCaller());
  return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
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
  if (base::safetyMechanisms().mAdoptFlows && !mayDeny(aNow, aPacket.keyFromCaller())) {
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
  Actions actions{ DeliverToUpstream{ mUpstream->mAddress, aForward.mPacket } };
  if (aPacket.mPayloadLength == 0 && !aPacket.has(flow::kFin) && !aPacket.has(flow::kRst)) {
    // An upstream does not answer an acceptable bare ACK, but answers a segment before its window
    // (RFC 9293, section 3.10.7.4). The answer reveals at once the owner of a flow in which only
    // the caller sends.
    flow::Bytes belowWindow = std::move(aForward.mPacket);
    mPacketFormat.mSetSequence(belowWindow, aPacket, aPacket.mSequence - 1);
    actions.emplace_back(DeliverToUpstream{ mUpstream->mAddress, std::move(belowWindow) });
  }
  return actions;
}

Actions FlowManager::deliver(base::Time aNow,
                             FlowRecord& aRecord,
                             const flow::TcpPacket& aPacket,
                             const wire::Forward& aForward)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  aRecord.mLastPacketAt = aNow;
  // recordCallerPacket() advances mCallerNextSequence, by which trackCallerPayload() detects new
  // payload.
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

// The balancer needs no update about an owner that it selected itself.
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
  mAdmission.onRequestStarted(aNow, aRecord.mIsAwaitingFirstRequest);
  aRecord.mIsAwaitingFirstRequest = false;
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
  // The RST carries the caller's address and the sequence number that the upstream expects next.
  flow::TcpPacket upstreamPacket;
  upstreamPacket.mSource = aFlow.mService;
  upstreamPacket.mDestination = aFlow.mCaller;
  upstreamPacket.mFlags = flow::kAck;
  upstreamPacket.mAcknowledgement = aRecord.mCallerInitialSequence + 1;
  mFlows.erase(aFlow);
  return { DeliverToUpstream{ mUpstream->mAddress, mPacketFormat.mMakeReset(upstreamPacket) },
           closed };
}

} // namespace cornelcross::agent
