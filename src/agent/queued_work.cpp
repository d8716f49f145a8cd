#include "agent/flow_manager.hpp"

#include "flow/sequence.hpp"

#include <algorithm>
#include <utility>

// Members of FlowManager that queue new flows and requests and that track the upstream's load.
namespace cornelcross::agent {

namespace {

/// Silence of the caller after which an admitted flow without a request no longer counts as load.
constexpr base::Duration kFirstRequestTimeout = std::chrono::seconds(1);

/// Time without a response after which payload is not counted as a request: the caller only sends.
constexpr base::Duration kResponseTimeout = std::chrono::seconds(10);

/// Agents that get one load report. A larger service is served in turns, so that the reports stay
/// below 3 KB/s.
constexpr std::size_t kReportFanout = 8;

} // namespace

admission::QueuePosition FlowManager::queuePosition(const flow::TcpPacket& aPacket) const
{
  const config::RequestClass* requests = mConfiguration->requestClassOf(aPacket.mDestination);
  return { mConfiguration->workspaceOf(aPacket.mSource.mAddress),
           requests == nullptr ? config::kMaxRank : requests->mRank, // unknown: not urgent
           base::Time::max() };
}

Actions FlowManager::queueOrRefuse(base::Time aNow,
                                   const flow::TcpPacket& aPacket,
                                   wire::Forward aForward)
{
  admission::QueuePosition position = queuePosition(aPacket);
  const admission::QueueState state{ mAdmissionQueue.queuedFlowsUpTo(position.mRank),
                                     mUpstream->mSlots,
                                     mAdmission.responseTime() };
  const config::RequestClass* requests = mConfiguration->requestClassOf(aPacket.mDestination);
  const auto wait = admission::openingWait(requests, mSettings.mAdmission, state);
  if (!wait) {
    return withExpectedWait(mCandidateForwarder.onNoOwner(aPacket, aForward), requests, state);
  }
  position.mExpiresAt = aNow + *wait;
  mQueuedFlows.insert(aPacket.keyFromCaller());
  const auto evicted = mAdmissionQueue.pushFlow(aNow, position, std::move(aForward));
  return evicted ? refuseQueuedFlow(*evicted) : Actions{};
}

// Tells from the log why a flow did not wait.
Actions FlowManager::withExpectedWait(Actions aActions,
                                      const config::RequestClass* aRequests,
                                      const admission::QueueState& aState)
{
  for (Action& action : aActions) {
    auto* event = std::get_if<telemetry::Event>(&action);
    if (event != nullptr && aRequests != nullptr) {
      const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(admission::expectedWait(aState));
      event->mFields.emplace_back("rank", std::to_string(aRequests->mRank));
      event->mFields.emplace_back("expected_wait_ms", std::to_string(wait.count()));
    }
  }
  return aActions;
}

Actions FlowManager::forwardNewFlow(base::Time aNow,
                                    const flow::TcpPacket& aPacket,
                                    wire::Forward aForward,
                                    const admission::ForwardTo& aTarget)
{
  aForward.mPlacement = aTarget.mPlacement;
  if (aTarget.mPlacement.mRound == wire::PlacementRound::kBoundedLoad) {
    return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
  }
  aForward.mCandidateIndex = aTarget.mCandidateIndex;
  const flow::Endpoint agent = aForward.mCandidates[aTarget.mCandidateIndex];
  mFailureDetector.recordUse(aNow, agent);
  return { SendMessage{ agent, std::move(aForward) } };
}

Actions FlowManager::refuseQueuedFlow(const wire::Forward& aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  mQueuedFlows.erase(packet->keyFromCaller());
  return mCandidateForwarder.onNoOwner(*packet, aForward);
}

// If the balancer hedges connection attempts, a second agent may have admitted a copy of the SYN
// meanwhile, which a RST would end. The caller retransmits the SYN within 50 ms.
Actions FlowManager::onOpeningWaitExpired(const wire::Forward& aForward)
{
  if (!aForward.mIsListFromAgent) {
    return refuseQueuedFlow(aForward);
  }
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  mQueuedFlows.erase(packet->keyFromCaller());
  return { DropPacket{ DropReason::kNoOwner } };
}

// Only the first packet of a request is queued. Later packets are delivered: the upstream's TCP
// buffers them until the first packet fills the gap (RFC 9293, section 3.10.7.4).
bool FlowManager::mustQueueRequest(const FlowRecord& aRecord, const flow::TcpPacket& aPacket) const
{
  if (!mSettings.mAdmission.mQueuesRequests || aPacket.mPayloadLength == 0 ||
      aRecord.mState == FlowState::kClosing || aRecord.mHasActiveRequest ||
      aRecord.mIsUnidirectional || aPacket.has(flow::kRst)) {
    return false;
  }
  if (aRecord.mHasQueuedRequest) {
    return !flow::isSequenceAfter(aPacket.mSequence, aRecord.mQueuedSequence);
  }
  return isNewPayload(aRecord, aPacket) &&
         (mAdmission.freeRequestCapacity() == 0 || mAdmissionQueue.queuedRequests() > 0);
}

Actions FlowManager::queueRequest(base::Time aNow,
                                  FlowRecord& aRecord,
                                  const flow::TcpPacket& aPacket,
                                  wire::Forward aForward)
{
  aRecord.mLastPacketAt = aNow;
  if (aRecord.mHasQueuedRequest) {
    return { DropPacket{ DropReason::kAlreadyQueued } };
  }
  recordFirstRequest(aNow, aRecord);
  aRecord.mHasQueuedRequest = true;
  aRecord.mQueuedSequence = aPacket.mSequence;
  admission::QueuePosition position = queuePosition(aPacket);
  if (const auto* requests = mConfiguration->requestClassOf(aPacket.mDestination)) {
    position.mExpiresAt = aNow + std::chrono::milliseconds(requests->mDeadlineMs);
  }
  const auto evicted = mAdmissionQueue.pushRequest(aNow, position, std::move(aForward));
  if (evicted) {
    // The caller's TCP retransmits the evicted packet.
    const auto packet = mPacketFormat.mParse(evicted->mPacket);
    FlowRecord* record = mFlows.find(packet->keyFromCaller());
    if (record != nullptr) {
      record->mHasQueuedRequest = false;
    }
  }
  return {};
}

void FlowManager::dequeue(base::Time aNow, Actions& aActions)
{
  while (mAdmission.freeRequestCapacity() > 0 && mAdmissionQueue.queuedRequests() > 0) {
    append(aActions, deliverQueuedRequest(aNow, *mAdmissionQueue.popRequest()));
  }
  while (mAdmissionQueue.queuedFlows() > 0 && hasFlowCapacity(aNow)) {
    append(aActions, admitQueuedFlow(aNow, *mAdmissionQueue.popFlow()));
  }
}

// A flow that has waited is admitted under the same conditions as one that arrives now, the rate of
// a cold start among them.
bool FlowManager::hasFlowCapacity(base::Time aNow) const
{
  const bool isEligible =
    mUpstream && upstreamAcceptsNewFlows(aNow) && mConfiguration->acceptsNewFlows(*mUpstream);
  const admission::CandidateState state = mAdmission.candidateState(aNow, isEligible);
  return state.mIsEligible && state.mFreeCapacity > 0;
}

void FlowManager::recordFirstRequest(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mIsAwaitingFirstRequest && !aRecord.mHasQueuedRequest) {
    mAdmission.onFirstRequest(aNow - aRecord.mRequestStartedAt);
  }
}

Actions FlowManager::deliverQueuedRequest(base::Time aNow, const wire::Forward& aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  FlowRecord* record = mFlows.find(packet->keyFromCaller());
  const bool isQueued =
    record != nullptr && record->mHasQueuedRequest && record->mQueuedSequence == packet->mSequence;
  if (!isQueued) {
    return {};
  }
  record->mHasQueuedRequest = false;
  // Later packets of the request were delivered and advanced mCallerNextSequence. Without the reset
  // of the flag, the queued packet would not count as new payload.
  record->mIsCallerNextValid = false;
  const std::uint32_t next = record->mCallerNextSequence;
  Actions actions = deliver(aNow, *record, *packet, aForward);
  if (flow::isSequenceAfter(next, record->mCallerNextSequence)) {
    record->mCallerNextSequence = next;
  }
  return actions;
}

Actions FlowManager::admitQueuedFlow(base::Time aNow, wire::Forward aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  // An upstream of another service may have been assigned to the agent while the flow was queued.
  const bool isForeign = !mConfiguration->serves(mServiceName, packet->mDestination) ||
                         (aForward.mService != 0 && aForward.mService != mServiceHash);
  if (isForeign || !mConfiguration->acceptsNewFlows(*mUpstream)) {
    return refuseQueuedFlow(aForward);
  }
  mQueuedFlows.erase(packet->keyFromCaller());
  return admitFlow(aNow, *packet, std::move(aForward));
}

Actions FlowManager::onQueueTimer(base::Time aNow)
{
  Actions actions;
  if (mAdmissionQueue.empty()) {
    return actions;
  }
  if (!mUpstream || !mConfiguration->acceptsNewFlows(*mUpstream)) {
    for (const wire::Forward& forward : mAdmissionQueue.removeAllFlows()) {
      append(actions, refuseQueuedFlow(forward));
    }
  }
  for (const wire::Forward& forward : mAdmissionQueue.removeExpiredFlows(aNow)) {
    append(actions, onOpeningWaitExpired(forward));
  }
  if (mUpstream && mConfiguration->acceptsPackets(*mUpstream)) {
    // A late request is better than none: the upstream may still answer it.
    for (const wire::Forward& forward : mAdmissionQueue.removeExpiredRequests(aNow)) {
      append(actions, deliverQueuedRequest(aNow, forward));
    }
    dequeue(aNow, actions);
  }
  return actions;
}

// The upstream's connection is closed. The record remains for packets that are still in flight.
void FlowManager::beginClosing(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mState == FlowState::kClosing) {
    return;
  }
  releaseLoad(aNow, aRecord);
  aRecord.mState = FlowState::kClosing;
  aRecord.mHasActiveRequest = false;
  aRecord.mIsAwaitingFirstRequest = false;
}

void FlowManager::releaseLoad(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mHasActiveRequest) {
    mAdmission.onRequestAborted(aNow);
  }
  if (aRecord.mIsAwaitingFirstRequest) {
    mAdmission.onFirstRequestTimeout(aNow);
  }
  mAdmission.onFlowClosed(aNow);
}

void FlowManager::expireLoad(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mIsAwaitingFirstRequest && aNow - aRecord.mLastPacketAt > kFirstRequestTimeout) {
    aRecord.mIsAwaitingFirstRequest = false;
    mAdmission.onFirstRequestTimeout(aNow);
  }
  if (aRecord.mHasActiveRequest && aNow - aRecord.mRequestStartedAt > kResponseTimeout) {
    aRecord.mHasActiveRequest = false;
    aRecord.mIsUnidirectional = true;
    mAdmission.onRequestAborted(aNow);
  }
}

void FlowManager::onLoadReport(base::Time aNow, const wire::LoadReport& aReport)
{
  if (mReportingUpstreams.count(aReport.mUpstream) > 0) {
    mAdmission.onLoadReport(aNow, aReport);
  }
}

Actions FlowManager::onReportTimer(base::Time aNow)
{
  Actions actions;
  if (!mUpstream || mReportTargets.empty() || !mConfiguration->acceptsNewFlows(*mUpstream)) {
    return actions;
  }
  const wire::LoadReport report = mAdmission.makeLoadReport(aNow, mUpstream->mIdentity);
  for (std::size_t i = 0; i < std::min(kReportFanout, mReportTargets.size()); ++i) {
    actions.emplace_back(
      SendMessage{ mReportTargets[mNextReportTarget++ % mReportTargets.size()], report });
  }
  return actions;
}

} // namespace cornelcross::agent
