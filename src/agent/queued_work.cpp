#include "agent/flow_manager.hpp"

#include "flow/sequence.hpp"

#include <algorithm>
#include <utility>

/// The part of the decisions that lets new flows and requests wait for room.
namespace cornelcross::agent {

namespace {

/// An admitted flow whose caller stays silent so long no longer counts as load.
constexpr base::Duration kExpectation = std::chrono::seconds(1);

/// A request without an answer after this time is no request: the application only sends.
constexpr base::Duration kAnswerTimeout = std::chrono::seconds(10);

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
  const auto evicted = mPending.pushFlow(aNow, workspace, std::move(aForward));
  return evicted ? refuse(*evicted) : Actions{};
}

Actions FlowManager::passOpening(base::Time aNow,
                                 const flow::TcpPacket& aPacket,
                                 wire::Forward aForward,
                                 const admission::ForwardTo& aPass)
{
  aForward.mPlacement = aPass.mPlacement;
  if (aPass.mPlacement.mRound == wire::PlacementRound::kBoundedLoad) {
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  aForward.mCandidateIndex = aPass.mCandidateIndex;
  const flow::Endpoint agent = aForward.mCandidates[aPass.mCandidateIndex];
  mFailureDetector.recordUse(aNow, agent);
  return { SendMessage{ agent, std::move(aForward) } };
}

Actions FlowManager::refuse(const wire::Forward& aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  mQueuedFlows.erase(packet->keyFromCaller());
  return mChain.end(*packet, aForward);
}

// Only the first packet of a request waits. What follows goes through: the upstream's TCP keeps it
// until the first packet fills the hole (RFC 9293, section 3.10.7.4).
bool FlowManager::mustWait(const FlowRecord& aRecord, const flow::TcpPacket& aPacket) const
{
  if (!mSettings.mAdmission.mQueuesRequests || aPacket.mPayloadLength == 0 ||
      aRecord.mState == FlowState::kClosing || aRecord.mIsBusy || aRecord.mIsOneWay ||
      aPacket.has(flow::kRst)) {
    return false;
  }
  if (aRecord.mHasQueuedRequest) {
    return !flow::isSequenceAfter(aPacket.mSequence, aRecord.mQueuedSequence);
  }
  return isNewPayload(aRecord, aPacket) &&
         (mAdmission.freeRequestCapacity() == 0 || mPending.requests() > 0);
}

Actions FlowManager::queueRequest(base::Time aNow,
                                  FlowRecord& aRecord,
                                  const flow::TcpPacket& aPacket,
                                  wire::Forward aForward)
{
  aRecord.mLastSeen = aNow;
  if (aRecord.mHasQueuedRequest) {
    return { DropPacket{ DropReason::kAlreadyQueued } };
  }
  noteFirstRequest(aNow, aRecord);
  aRecord.mHasQueuedRequest = true;
  aRecord.mQueuedSequence = aPacket.mSequence;
  const std::size_t workspace = mConfiguration->workspaceOf(aPacket.mSource.mAddress);
  const auto evicted = mPending.pushRequest(aNow, workspace, std::move(aForward));
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

void FlowManager::release(base::Time aNow, Actions& aActions)
{
  while (mAdmission.freeRequestCapacity() > 0 && mPending.requests() > 0) {
    append(aActions, releaseRequest(aNow, *mPending.popRequest()));
  }
  while (mAdmission.freeFlowCapacity() > 0 && mPending.flows() > 0) {
    append(aActions, releaseFlow(aNow, *mPending.popFlow()));
  }
}

void FlowManager::noteFirstRequest(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mIsExpected && !aRecord.mHasQueuedRequest) {
    mAdmission.onFirstRequest(aNow - aRecord.mBusySince);
  }
}

Actions FlowManager::releaseRequest(base::Time aNow, const wire::Forward& aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  FlowRecord* record = mFlows.find(packet->keyFromCaller());
  const bool waits =
    record != nullptr && record->mHasQueuedRequest && record->mQueuedSequence == packet->mSequence;
  if (!waits) {
    return {};
  }
  record->mHasQueuedRequest = false;
  // What followed the held packet has gone through and moved mCallerNext; the request is new still.
  record->mKnowsCallerNext = false;
  const std::uint32_t next = record->mCallerNext;
  Actions actions = deliver(aNow, *record, *packet, aForward);
  if (flow::isSequenceAfter(next, record->mCallerNext)) {
    record->mCallerNext = next;
  }
  return actions;
}

Actions FlowManager::releaseFlow(base::Time aNow, wire::Forward aForward)
{
  const auto packet = mPacketFormat.mParse(aForward.mPacket);
  // The agent may have been given the upstream of another service while the flow waited.
  const bool isForeign = !mConfiguration->serves(mServiceName, packet->mDestination) ||
                         (aForward.mService != 0 && aForward.mService != mService);
  if (isForeign || !mConfiguration->acceptsNewFlows(*mUpstream)) {
    return refuse(aForward);
  }
  mQueuedFlows.erase(packet->keyFromCaller());
  return admit(aNow, *packet, std::move(aForward));
}

Actions FlowManager::onQueueTimer(base::Time aNow)
{
  Actions actions;
  if (mPending.empty()) {
    return actions;
  }
  if (!mUpstream || !mConfiguration->acceptsNewFlows(*mUpstream)) {
    for (const wire::Forward& forward : mPending.removeFlowsOlderThan(base::Time::max())) {
      append(actions, refuse(forward));
    }
  }
  for (const wire::Forward& forward :
       mPending.removeFlowsOlderThan(aNow - mSettings.mAdmission.mMaxQueueTime)) {
    append(actions, refuse(forward));
  }
  if (mUpstream && mConfiguration->acceptsPackets(*mUpstream)) {
    release(aNow, actions);
  }
  return actions;
}

// The upstream's connection is gone; only the record stays, for what is still under way.
void FlowManager::beginClosing(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mState == FlowState::kClosing) {
    return;
  }
  endLoad(aNow, aRecord);
  aRecord.mState = FlowState::kClosing;
  aRecord.mIsBusy = false;
  aRecord.mIsExpected = false;
}

void FlowManager::endLoad(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mIsBusy) {
    mAdmission.onRequestAborted(aNow);
  }
  if (aRecord.mIsExpected) {
    mAdmission.onFirstRequestTimeout(aNow);
  }
  mAdmission.onFlowClosed(aNow);
}

void FlowManager::updateLoad(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mIsExpected && aNow - aRecord.mLastSeen > kExpectation) {
    aRecord.mIsExpected = false;
    mAdmission.onFirstRequestTimeout(aNow);
  }
  if (aRecord.mIsBusy && aNow - aRecord.mBusySince > kAnswerTimeout) {
    aRecord.mIsBusy = false;
    aRecord.mIsOneWay = true;
    mAdmission.onRequestAborted(aNow);
  }
}

void FlowManager::onLoadReport(base::Time aNow, const wire::LoadReport& aReport)
{
  if (mReporters.count(aReport.mUpstream) > 0) {
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
      SendMessage{ mReportTargets[mNextTarget++ % mReportTargets.size()], report });
  }
  return actions;
}

} // namespace cornelcross::agent
