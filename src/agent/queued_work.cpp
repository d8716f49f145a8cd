#include "agent/flow_manager.hpp"

#include "flow/sequence.hpp"

#include <algorithm>
#include <utility>

/// The part of the decisions that lets new flows and requests wait for room.
namespace cornelcross::agent {

namespace {

/// An admitted flow whose caller stays silent so long no longer counts as load.
constexpr base::Duration kFirstRequestTimeout = std::chrono::seconds(1);

/// A request without an answer after this time is no request: the application only sends.
constexpr base::Duration kResponseTimeout = std::chrono::seconds(10);

/// Agents that are told the load at once. In a larger service they take turns, so that the cost
/// stays below 3 KB/s.
constexpr std::size_t kReportFanout = 8;

} // namespace

Actions FlowManager::queueFlow(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  mQueuedFlows.insert(aPacket.keyFromCaller());
  const std::size_t workspace = mConfiguration->workspaceOf(aPacket.mSource.mAddress);
  const auto evicted = mAdmissionQueue.pushFlow(aNow, workspace, std::move(aForward));
  return evicted ? refuseQueuedFlow(*evicted) : Actions{};
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

// Only the first packet of a request waits. What follows goes through: the upstream's TCP keeps it
// until the first packet fills the hole (RFC 9293, section 3.10.7.4).
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
         (mAdmission.freeRequestCapacity() == 0 || mAdmissionQueue.requests() > 0);
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
  const std::size_t workspace = mConfiguration->workspaceOf(aPacket.mSource.mAddress);
  const auto evicted = mAdmissionQueue.pushRequest(aNow, workspace, std::move(aForward));
  if (evicted) {
    // The caller's TCP retransmits it.
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
  while (mAdmission.freeRequestCapacity() > 0 && mAdmissionQueue.requests() > 0) {
    append(aActions, deliverQueuedRequest(aNow, *mAdmissionQueue.popRequest()));
  }
  while (mAdmission.freeFlowCapacity() > 0 && mAdmissionQueue.flows() > 0) {
    append(aActions, admitQueuedFlow(aNow, *mAdmissionQueue.popFlow()));
  }
}

void FlowManager::recordFirstRequest(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mAwaitsFirstRequest && !aRecord.mHasQueuedRequest) {
    mAdmission.onFirstRequest(aNow - aRecord.mRequestStartedAt);
  }
}

Actions FlowManager::deliverQueuedRequest(base::Time aNow, const wire::Forward& aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  FlowRecord* record = mFlows.find(packet->keyFromCaller());
  const bool waits =
    record != nullptr && record->mHasQueuedRequest && record->mQueuedSequence == packet->mSequence;
  if (!waits) {
    return {};
  }
  record->mHasQueuedRequest = false;
  // What followed the held packet has gone through and moved mCallerNextSequence; the request is
  // new still.
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
  // The agent may have been given the upstream of another service while the flow waited.
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
    for (const wire::Forward& forward : mAdmissionQueue.removeFlowsOlderThan(base::Time::max())) {
      append(actions, refuseQueuedFlow(forward));
    }
  }
  for (const wire::Forward& forward :
       mAdmissionQueue.removeFlowsOlderThan(aNow - mSettings.mAdmission.mMaxQueueTime)) {
    append(actions, refuseQueuedFlow(forward));
  }
  if (mUpstream && mConfiguration->acceptsPackets(*mUpstream)) {
    dequeue(aNow, actions);
  }
  return actions;
}

// The upstream's connection is gone; only the record stays, for what is still under way.
void FlowManager::beginClosing(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mState == FlowState::kClosing) {
    return;
  }
  releaseLoad(aNow, aRecord);
  aRecord.mState = FlowState::kClosing;
  aRecord.mHasActiveRequest = false;
  aRecord.mAwaitsFirstRequest = false;
}

void FlowManager::releaseLoad(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mHasActiveRequest) {
    mAdmission.onRequestAborted(aNow);
  }
  if (aRecord.mAwaitsFirstRequest) {
    mAdmission.onFirstRequestTimeout(aNow);
  }
  mAdmission.onFlowClosed(aNow);
}

void FlowManager::expireLoad(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mAwaitsFirstRequest && aNow - aRecord.mLastPacketAt > kFirstRequestTimeout) {
    aRecord.mAwaitsFirstRequest = false;
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
