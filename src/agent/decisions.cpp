#include "agent/decisions.hpp"

#include "base/mechanisms.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelcross::agent {

namespace {

/// Bytes that an acknowledgement may lie behind the upstream's last one: the largest window with
/// scaling that is in common use. A stale or foreign acknowledgement fits with a chance of 1 in
/// 1024.
constexpr std::uint32_t kAckWindow = 4 * 1024 * 1024;

/// True if the acknowledgement is for data that this upstream has sent. Of an adopted flow the
/// agent may have seen an old segment only, sent again, of which the caller has long had what
/// follows.
bool acknowledgementFits(const FlowRecord& aRecord, std::uint32_t aAcknowledgement)
{
  const bool isAhead = aRecord.mIsAdopted && aAcknowledgement - aRecord.mUpstreamNext <= kAckWindow;
  return !aRecord.mKnowsUpstreamNext || isAhead ||
         aRecord.mUpstreamNext - aAcknowledgement <= kAckWindow;
}

/// True if the packet carries data that the agent has not seen before.
bool isNewPayload(const FlowRecord& aRecord, const flow::TcpPacket& aPacket)
{
  const std::uint32_t end = aPacket.mSequence + aPacket.mPayloadLength;
  return aPacket.mPayloadLength > 0 &&
         (!aRecord.mKnowsCallerNext || static_cast<std::int32_t>(end - aRecord.mCallerNext) > 0);
}

/// True if the segment belongs to the connection that the record's SYN opens.
bool isOfAttempt(const FlowRecord& aRecord, const flow::TcpPacket& aPacket)
{
  return aPacket.mSequence - aRecord.mCallerInitial <= kAckWindow;
}

void noteCaller(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext)
{
  const bool isAhead = static_cast<std::int32_t>(aNext - aRecord.mCallerNext) > 0;
  aRecord.mCallerNext = !aRecord.mKnowsCallerNext || isAhead ? aNext : aRecord.mCallerNext;
  aRecord.mKnowsCallerNext = true;
  aRecord.mLastCaller = aNow;
  aRecord.mCallerProbes = 0;
}

flow::RunVerdict verdictOf(const FlowRecord& aRecord)
{
  return aRecord.mState == FlowState::kHalfOpen ? flow::RunVerdict::kNotRun
                                                : flow::RunVerdict::kMayHaveRun;
}

} // namespace

Decisions::Decisions(const AgentSettings& aSettings)
  : mSettings(aSettings)
  , mConfiguration(std::make_shared<const config::Configuration>())
  , mAdmission(aSettings.mAdmission)
  , mPending(aSettings.mAdmission.mMaxHeld, aSettings.mAdmission.mMaxHeld)
  , mChain(mPeers)
  , mKeepAlive(aSettings.mKeepAlive)
{
}

Actions Decisions::apply(base::Time aNow, config::ConfigurationPtr aConfiguration)
{
  if (aConfiguration->mRevision < revision()) {
    return {};
  }
  mStarted = mStarted.value_or(aNow);
  mConfiguration = std::move(aConfiguration);
  const auto before = std::exchange(mUpstream, std::nullopt);
  const std::uint64_t identity = before ? before->mIdentity : 0;
  const std::uint64_t serviceBefore = mService;
  const flow::Endpoint addressBefore = mServiceAddress;
  mReportTargets.clear();
  mReporters.clear();
  mAdmission.forgetReports();
  mChain.configure(mConfiguration, nullptr);
  for (const auto& [name, service] : mConfiguration->mServices) {
    for (const auto& upstream : service.mUpstreams) {
      if (upstream.mAgent == mSettings.mSelf) {
        mUpstream = upstream;
        mServiceAddress = service.mAddress;
        mService = config::upstreamIdentity(name, "");
        mAdmission.configure(aNow,
                             upstream.mSlots,
                             mConfiguration->mayOpen(upstream),
                             upstream.mState == config::UpstreamState::kJoining);
        collectReporters(service);
        mChain.configure(mConfiguration, &service);
      }
    }
  }
  if (mUpstream && mUpstream->mIdentity != identity) {
    mAdmission.restart(aNow);
  }
  Actions actions;
  // Another VM, or the same one for another service, has none of the flows that are on record.
  const bool isAnother = before && mUpstream &&
                         (before->mAddress != mUpstream->mAddress || serviceBefore != mService ||
                          addressBefore != mServiceAddress);
  if (isAnother) {
    actions = releaseFlows(aNow);
  }
  if (before != mUpstream) {
    actions.emplace_back(assignment());
  }
  return actions;
}

Actions Decisions::releaseFlows(base::Time aNow)
{
  Actions actions;
  mFlows.eraseIf([&](const flow::FlowKey& aFlow, const FlowRecord& aRecord) {
    actions.emplace_back(close(aNow, aFlow, aRecord, "upstream_replaced"));
    return true;
  });
  mInquiry.clear();
  mUpstreamWatch = {};
  mStarted = aNow;
  return actions;
}

telemetry::Event Decisions::assignment() const
{
  if (!mUpstream) {
    return { telemetry::EventKind::kUpstreamAssigned, { { "upstream", "none" } } };
  }
  return { telemetry::EventKind::kUpstreamAssigned,
           { { "upstream", mUpstream->mName },
             { "service", mServiceAddress.toString() },
             { "zone", mUpstream->mZone },
             { "state", std::string(toString(mUpstream->mState)) } } };
}

void Decisions::collectReporters(const config::Service& aService)
{
  for (const auto& upstream : aService.mUpstreams) {
    if (upstream.mAgent != mSettings.mSelf && mConfiguration->mayOpen(upstream)) {
      mReportTargets.push_back(upstream.mAgent);
      mReporters.insert(upstream.mIdentity);
    }
  }
}

Actions Decisions::onForward(base::Time aNow, std::uint64_t aRevision, wire::Forward aForward)
{
  const auto packet = flow::TcpPacket::parse(aForward.mPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  if (!mUpstream) {
    return { DropPacket{ DropReason::kNotConfigured } };
  }
  const bool isForeign = packet->mDestination != mServiceAddress || aForward.mService != mService;
  if (isForeign && base::mechanisms().mCheckService) {
    return { DropPacket{ DropReason::kForeignService } };
  }
  if (!mConfiguration->mayReceive(*mUpstream)) {
    return { DropPacket{ DropReason::kZoneOut } };
  }
  // A denial counts only under the configuration that the sender used to list the candidates.
  aForward.mIsUnanimous = aForward.mIsUnanimous && aRevision == revision();
  if (!base::mechanisms().mPassUnowned && !packet->opensFlow()) {
    aForward.mCandidates.resize(aForward.mPosition + std::size_t{ 1 });
    aForward.mIsComplete = false;
  }
  return packet->opensFlow() ? onSyn(aNow, *packet, std::move(aForward))
                             : onSegment(aNow, *packet, std::move(aForward));
}

Actions Decisions::onSyn(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
{
  FlowRecord* record = mFlows.find(aPacket.keyFromCaller());
  if (record == nullptr) {
    return open(aNow, aPacket, std::move(aForward));
  }
  const bool isReuse = record->mCallerInitial != aPacket.mSequence;
  if (isReuse && record->mState == FlowState::kClosing) {
    const telemetry::Event closed = close(aNow, aPacket.keyFromCaller(), *record, "port_reused");
    mFlows.erase(aPacket.keyFromCaller());
    Actions actions = open(aNow, aPacket, std::move(aForward));
    actions.insert(actions.begin(), closed);
    return actions;
  }
  // A retransmission, or a SYN in a living connection, which the upstream's TCP answers itself
  // (RFC 5961, section 4).
  if (isReuse && !mConfiguration->mayOpen(*mUpstream)) {
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  record->mPendingInitial = isReuse ? aPacket.mSequence : 0;
  record->mLastSeen = aNow;
  flow::stripSynPayload(aForward.mPacket, aPacket);
  flow::clampMss(aForward.mPacket, aPacket, mSettings.mMaxSegment);
  return { DeliverToUpstream{ mUpstream->mAddress, std::move(aForward.mPacket) } };
}

Actions Decisions::open(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
{
  if (mHeldFlows.count(aPacket.keyFromCaller()) > 0) {
    return { DropPacket{ DropReason::kHeldAlready } };
  }
  admission::Offer offer =
    mAdmission.offer(aNow, mConfiguration->mayOpen(*mUpstream) && mUpstreamWatch.mayOpen(aNow));
  offer.mRoom = mPending.flows() == 0 ? offer.mRoom : std::uint16_t{ 0 };
  const auto count = aForward.mPosition + (mChain.hasNext(aForward) ? 2 : 1);
  const admission::Step step =
    admission::decide(aForward.mWalk, aForward.mPosition, static_cast<std::uint8_t>(count), offer);
  if (const auto* pass = std::get_if<admission::PassTo>(&step)) {
    return passOpening(aNow, aPacket, std::move(aForward), *pass);
  }
  if (std::holds_alternative<admission::Hold>(step)) {
    return hold(aNow, aPacket, std::move(aForward));
  }
  if (std::holds_alternative<admission::Refuse>(step)) {
    // None of these candidates is eligible; there may be others.
    aForward.mWalk = {};
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  return admit(aNow, aPacket, std::move(aForward));
}

Actions Decisions::admit(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
{
  FlowRecord record;
  record.mCallerInitial = aPacket.mSequence;
  record.mIsExpected = true;
  record.mBusySince = aNow;
  record.mCallerNext = aPacket.mSequence + 1;
  record.mKnowsCallerNext = true;
  record.mLastSeen = aNow;
  mFlows.insert(aPacket.keyFromCaller(), record);
  mUpstreamWatch.noteSyn(aNow);
  mInquiry.erase(aPacket.keyFromCaller());
  mAdmission.flowOpened(aNow);
  flow::stripSynPayload(aForward.mPacket, aPacket);
  flow::clampMss(aForward.mPacket, aPacket, mSettings.mMaxSegment);
  Actions actions;
  actions.emplace_back(DeliverToUpstream{ mUpstream->mAddress, std::move(aForward.mPacket) });
  if (aForward.mPosition > 0 && aForward.mIngress.mPort != 0) {
    actions.emplace_back(SendMessage{
      aForward.mIngress, wire::OwnerNotice{ aPacket.keyFromCaller(), mSettings.mSelf } });
  }
  actions.emplace_back(telemetry::Event{
    telemetry::EventKind::kFlowOpened,
    { { "flow", aPacket.keyFromCaller().toString() }, { "upstream", mUpstream->mName } } });
  return actions;
}

Actions Decisions::onSegment(base::Time aNow,
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
      Actions passed = mChain.pass(aNow, aPacket, std::move(aForward));
      actions.insert(actions.end(),
                     std::make_move_iterator(passed.begin()),
                     std::make_move_iterator(passed.end()));
      return actions;
    }
    record->mState = isReset ? record->mState : FlowState::kEstablished;
  } else if (!fits) {
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  if (mustWait(*record, aPacket)) {
    return holdRequest(aNow, *record, aPacket, std::move(aForward));
  }
  return deliver(aNow, *record, aPacket, aForward);
}

bool Decisions::recordsAreComplete(base::Time aNow) const
{
  return mStarted && aNow - *mStarted >= mSettings.mRecoveryWindow;
}

Actions Decisions::onUnrecorded(base::Time aNow,
                                const flow::TcpPacket& aPacket,
                                wire::Forward aForward)
{
  if (aForward.mInquiry != wire::Inquiry::kNone) {
    return onInquiry(aNow, aPacket, std::move(aForward));
  }
  Actions actions;
  const bool isUnsure = base::mechanisms().mAdoptFlows && !recordsAreComplete(aNow) &&
                        !mInquiry.isDenied(aNow, aPacket.keyFromCaller());
  if (isUnsure) {
    actions = Chain::addUnsure(mSettings.mSelf, aForward);
  }
  Actions passed = mChain.pass(aNow, aPacket, std::move(aForward));
  std::move(passed.begin(), passed.end(), std::back_inserter(actions));
  return actions;
}

Actions Decisions::onInquiry(base::Time aNow,
                             const flow::TcpPacket& aPacket,
                             wire::Forward aForward)
{
  const bool isFinal = aForward.mInquiry == wire::Inquiry::kFinal;
  if (!mInquiry.ask(aNow, aPacket.keyFromCaller(), isFinal)) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  Actions actions;
  if (aPacket.mPayloadLength == 0 && !aPacket.has(flow::kFin) && !aPacket.has(flow::kRst)) {
    // An acceptable bare ACK is not answered; a segment before the window is (RFC 9293, section
    // 3.10.7.4), so that a flow of which only the caller is heard becomes known at once.
    flow::Bytes keepAlive = aForward.mPacket;
    flow::setSequence(keepAlive, aPacket, aPacket.mSequence - 1);
    actions.emplace_back(DeliverToUpstream{ mUpstream->mAddress, std::move(keepAlive) });
  }
  actions.insert(actions.begin(),
                 DeliverToUpstream{ mUpstream->mAddress, std::move(aForward.mPacket) });
  return actions;
}

Actions Decisions::deliver(base::Time aNow,
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
  if (aForward.mPosition > 0 && aForward.mIngress.mPort != 0) {
    actions.emplace_back(
      SendMessage{ aForward.mIngress, wire::OwnerNotice{ key, mSettings.mSelf } });
  }
  if (aPacket.has(flow::kRst)) {
    actions.emplace_back(close(aNow, key, aRecord, "caller_reset"));
    mFlows.erase(key);
    return actions;
  }
  aRecord.mHasCallerFin = aRecord.mHasCallerFin || aPacket.has(flow::kFin);
  if (aRecord.mHasCallerFin && aRecord.mHasUpstreamFin) {
    aRecord.mState = FlowState::kClosing;
  }
  return actions;
}

void Decisions::trackCallerPayload(base::Time aNow,
                                   FlowRecord& aRecord,
                                   const flow::TcpPacket& aPacket)
{
  if (!isNewPayload(aRecord, aPacket)) {
    return;
  }
  aRecord.mCallerNext = aPacket.nextSequence();
  aRecord.mKnowsCallerNext = true;
  if (aRecord.mIsBusy || aRecord.mIsOneWay || aRecord.mIsHeld) {
    return;
  }
  noteFirstRequest(aNow, aRecord);
  aRecord.mIsBusy = true;
  aRecord.mBusySince = aNow;
  mAdmission.requestStarted(aNow, aRecord.mIsExpected);
  aRecord.mIsExpected = false;
}

void Decisions::trackUpstreamPayload(base::Time aNow,
                                     FlowRecord& aRecord,
                                     const flow::TcpPacket& aPacket)
{
  if (aPacket.mPayloadLength == 0) {
    return;
  }
  aRecord.mIsOneWay = false;
  if (!aRecord.mIsBusy) {
    return;
  }
  aRecord.mIsBusy = false;
  mAdmission.requestAnswered(aNow, aNow - aRecord.mBusySince);
}

Actions Decisions::abandonHalfOpen(base::Time aNow,
                                   const flow::FlowKey& aFlow,
                                   const FlowRecord& aRecord)
{
  // RST in the caller's name, at the sequence number that the upstream expects next.
  flow::TcpPacket answer;
  answer.mSource = aFlow.mService;
  answer.mDestination = aFlow.mCaller;
  answer.mFlags = flow::kAck;
  answer.mAcknowledgement = aRecord.mCallerInitial + 1;
  const telemetry::Event closed = close(aNow, aFlow, aRecord, "owned_elsewhere");
  mFlows.erase(aFlow);
  return { DeliverToUpstream{ mUpstream->mAddress, flow::makeReset(answer) }, closed };
}

Actions Decisions::onUpstreamPacket(base::Time aNow, flow::Bytes aPacket)
{
  const auto packet = flow::TcpPacket::parse(aPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  if (!mUpstream || packet->mSource != mServiceAddress) {
    return { DropPacket{ DropReason::kForeignService } };
  }
  if (!mConfiguration->mayReceive(*mUpstream)) {
    return { DropPacket{ DropReason::kZoneOut } };
  }
  const flow::FlowKey key = packet->keyFromUpstream();
  FlowRecord* record = mFlows.find(key);
  Actions actions;
  const bool isUnrecordedReset = record == nullptr && packet->has(flow::kRst);
  if (isUnrecordedReset && mInquiry.onReset(aNow, key) == ResetVerdict::kHold) {
    return { DropPacket{ DropReason::kNotOwned } };
  }
  if (record == nullptr && packet->has(flow::kSyn)) {
    return { DropPacket{ DropReason::kNoRecord } };
  }
  if (record == nullptr && !packet->has(flow::kRst) && base::mechanisms().mAdoptFlows) {
    // The agent restarted beside a living upstream: what the upstream sends, it owns.
    FlowRecord adopted;
    adopted.mState = FlowState::kEstablished;
    adopted.mIsAdopted = true;
    record = &mFlows.insert(key, adopted);
    mInquiry.erase(key);
    mAdmission.flowAdopted(aNow);
    actions.emplace_back(
      telemetry::Event{ telemetry::EventKind::kFlowAdopted, { { "flow", key.toString() } } });
  }
  if (packet->has(flow::kSyn)) {
    flow::clampMss(aPacket, *packet, mSettings.mMaxSegment);
    acceptSyn(aNow, *packet, *record, actions);
  }
  const bool isRefusal =
    record != nullptr && packet->has(flow::kRst) && record->mState == FlowState::kHalfOpen;
  if (isRefusal && !record->mIsAnswered) {
    // Nothing ran. The caller's next SYN finds the flow without a record and goes elsewhere.
    mUpstreamWatch.noteRefused(aNow);
    actions.emplace_back(close(aNow, key, *record, "upstream_refused"));
    mFlows.erase(key);
    return actions;
  }
  actions.emplace_back(SendToCaller{ std::move(aPacket) });
  if (record == nullptr) {
    return actions;
  }
  if (packet->has(flow::kRst)) {
    if (record->mIsBusy || !record->mIsAnswered) {
      mAdmission.upstreamReset(aNow);
    }
    actions.emplace_back(close(aNow, key, *record, "upstream_reset"));
    mFlows.erase(key);
    release(aNow, actions);
    return actions;
  }
  const std::uint32_t next = packet->nextSequence();
  if (!record->mKnowsUpstreamNext || static_cast<std::int32_t>(next - record->mUpstreamNext) > 0) {
    record->mUpstreamNext = next;
    record->mKnowsUpstreamNext = true;
  }
  record->mLastSeen = aNow;
  record->mLastUpstream = aNow;
  record->mUpstreamProbes = 0;
  if (!record->mKnowsCallerNext && packet->has(flow::kAck)) {
    noteCaller(aNow, *record, packet->mAcknowledgement);
  }
  trackUpstreamPayload(aNow, *record, *packet);
  record->mHasUpstreamFin = record->mHasUpstreamFin || packet->has(flow::kFin);
  if (record->mHasCallerFin && record->mHasUpstreamFin) {
    record->mState = FlowState::kClosing;
  }
  release(aNow, actions);
  return actions;
}

void Decisions::acceptSyn(base::Time aNow,
                          const flow::TcpPacket& aPacket,
                          FlowRecord& aRecord,
                          Actions& aActions)
{
  mUpstreamWatch.noteAccepted();
  const bool isRenewed =
    aRecord.mPendingInitial != 0 && aPacket.mAcknowledgement == aRecord.mPendingInitial + 1;
  if (isRenewed) {
    // The upstream had lost the connection of which this record tells: a new one took its place.
    aActions.emplace_back(close(aNow, aPacket.keyFromUpstream(), aRecord, "port_reused"));
    const std::uint32_t initial = aRecord.mPendingInitial;
    aRecord = FlowRecord{};
    aRecord.mCallerInitial = initial;
    mAdmission.flowAdopted(aNow);
  }
  aRecord.mIsAnswered = true;
}

telemetry::Event Decisions::close(base::Time aNow,
                                  const flow::FlowKey& aFlow,
                                  const FlowRecord& aRecord,
                                  const std::string& aReason)
{
  if (aRecord.mIsBusy) {
    mAdmission.requestAbandoned(aNow);
  }
  if (aRecord.mIsExpected) {
    mAdmission.expectationEnded(aNow);
  }
  mAdmission.flowClosed(aNow);
  return { telemetry::EventKind::kFlowClosed,
           { { "flow", aFlow.toString() },
             { "reason", aReason },
             { "verdict", std::string(toString(verdictOf(aRecord))) } } };
}

void Decisions::keepAlive(base::Time aNow, Actions& aActions)
{
  if (!mUpstream || !mConfiguration->mayReceive(*mUpstream)) {
    return;
  }
  mKeepAlive.beginRound();
  mFlows.forEach([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    aRecord.mIsSilent = mKeepAlive.check(aNow, aFlow, mUpstream->mAddress, aRecord, aActions);
  });
}

bool Decisions::isExpired(base::Time aNow, const FlowRecord& aRecord) const
{
  const base::Duration idle = aNow - aRecord.mLastSeen;
  switch (aRecord.mState) {
    case FlowState::kHalfOpen:
      return idle > mSettings.mHalfOpenTimeout;
    case FlowState::kEstablished:
      return idle > mSettings.mIdleTimeout;
    case FlowState::kClosing:
      return idle > mSettings.mClosingTimeout;
  }
  return false;
}

Actions Decisions::onTick(base::Time aNow)
{
  mInquiry.expire(aNow);
  Actions actions;
  keepAlive(aNow, actions);
  mFlows.eraseIf([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    if (!aRecord.mIsSilent && !isExpired(aNow, aRecord)) {
      updateLoad(aNow, aRecord);
      return false;
    }
    actions.emplace_back(close(aNow, aFlow, aRecord, aRecord.mIsSilent ? "silent" : "expired"));
    return true;
  });
  return actions;
}

Actions Decisions::onPeerTick(base::Time aNow)
{
  Actions actions;
  for (const flow::Endpoint peer : mPeers.takeProbes(aNow)) {
    actions.emplace_back(SendMessage{ peer, wire::Probe{ ++mNonce } });
  }
  return actions;
}

} // namespace cornelcross::agent
