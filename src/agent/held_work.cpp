#include "agent/decisions.hpp"

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

Actions Decisions::hold(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
{
  mHeldFlows.insert(aPacket.keyFromCaller());
  const std::size_t workspace = mConfiguration->workspaceOf(aPacket.mSource.mAddress);
  const auto evicted = mPending.addFlow(aNow, workspace, std::move(aForward));
  return evicted ? refuse(*evicted) : Actions{};
}

Actions Decisions::passOpening(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward,
                               const admission::PassTo& aPass)
{
  aForward.mWalk = aPass.mWalk;
  if (aPass.mWalk.mRound == wire::Round::kBalance) {
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  aForward.mPosition = aPass.mPosition;
  const flow::Endpoint agent = aForward.mCandidates[aPass.mPosition];
  mPeers.noteUse(aNow, agent);
  return { SendMessage{ agent, std::move(aForward) } };
}

Actions Decisions::refuse(const wire::Forward& aForward)
{
  const auto packet = mFormat.mParse(aForward.mPacket);
  mHeldFlows.erase(packet->keyFromCaller());
  return mChain.end(*packet, aForward);
}

// Only the first packet of a request waits. What follows goes through: the upstream's TCP keeps it
// until the first packet fills the hole (RFC 9293, section 3.10.7.4).
bool Decisions::mustWait(const FlowRecord& aRecord, const flow::TcpPacket& aPacket) const
{
  if (!mSettings.mAdmission.mHoldsRequests || aPacket.mPayloadLength == 0 ||
      aRecord.mState == FlowState::kClosing || aRecord.mIsBusy || aRecord.mIsOneWay ||
      aPacket.has(flow::kRst)) {
    return false;
  }
  if (aRecord.mIsHeld) {
    return !flow::isAfter(aPacket.mSequence, aRecord.mHeldSequence);
  }
  return isNewPayload(aRecord, aPacket) &&
         (mAdmission.requestRoom() == 0 || mPending.requests() > 0);
}

Actions Decisions::holdRequest(base::Time aNow,
                               FlowRecord& aRecord,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  aRecord.mLastSeen = aNow;
  if (aRecord.mIsHeld) {
    return { DropPacket{ DropReason::kHeldAlready } };
  }
  noteFirstRequest(aNow, aRecord);
  aRecord.mIsHeld = true;
  aRecord.mHeldSequence = aPacket.mSequence;
  const std::size_t workspace = mConfiguration->workspaceOf(aPacket.mSource.mAddress);
  const auto evicted = mPending.addRequest(aNow, workspace, std::move(aForward));
  if (evicted) {
    // The caller's TCP retransmits it.
    const auto packet = mFormat.mParse(evicted->mPacket);
    FlowRecord* record = mFlows.find(packet->keyFromCaller());
    if (record != nullptr) {
      record->mIsHeld = false;
    }
  }
  return {};
}

void Decisions::release(base::Time aNow, Actions& aActions)
{
  while (mAdmission.requestRoom() > 0 && mPending.requests() > 0) {
    append(aActions, releaseRequest(aNow, *mPending.nextRequest()));
  }
  while (mAdmission.flowRoom() > 0 && mPending.flows() > 0) {
    append(aActions, releaseFlow(aNow, *mPending.nextFlow()));
  }
}

void Decisions::noteFirstRequest(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mIsExpected && !aRecord.mIsHeld) {
    mAdmission.firstRequestArrived(aNow - aRecord.mBusySince);
  }
}

Actions Decisions::releaseRequest(base::Time aNow, const wire::Forward& aForward)
{
  const auto packet = mFormat.mParse(aForward.mPacket);
  FlowRecord* record = mFlows.find(packet->keyFromCaller());
  const bool waits =
    record != nullptr && record->mIsHeld && record->mHeldSequence == packet->mSequence;
  if (!waits) {
    return {};
  }
  record->mIsHeld = false;
  // What followed the held packet has gone through and moved mCallerNext; the request is new still.
  record->mKnowsCallerNext = false;
  const std::uint32_t next = record->mCallerNext;
  Actions actions = deliver(aNow, *record, *packet, aForward);
  if (flow::isAfter(next, record->mCallerNext)) {
    record->mCallerNext = next;
  }
  return actions;
}

Actions Decisions::releaseFlow(base::Time aNow, wire::Forward aForward)
{
  const auto packet = mFormat.mParse(aForward.mPacket);
  // The agent may have been given the upstream of another service while the flow waited.
  const bool isForeign = !mConfiguration->serves(mServiceName, packet->mDestination) ||
                         (aForward.mService != 0 && aForward.mService != mService);
  if (isForeign || !mConfiguration->mayOpen(*mUpstream)) {
    return refuse(aForward);
  }
  mHeldFlows.erase(packet->keyFromCaller());
  return admit(aNow, *packet, std::move(aForward));
}

Actions Decisions::onHoldTimer(base::Time aNow)
{
  Actions actions;
  if (mPending.empty()) {
    return actions;
  }
  if (!mUpstream || !mConfiguration->mayOpen(*mUpstream)) {
    for (const wire::Forward& forward : mPending.takeFlowsOlderThan(base::Time::max())) {
      append(actions, refuse(forward));
    }
  }
  for (const wire::Forward& forward :
       mPending.takeFlowsOlderThan(aNow - mSettings.mAdmission.mHold)) {
    append(actions, refuse(forward));
  }
  if (mUpstream && mConfiguration->mayReceive(*mUpstream)) {
    release(aNow, actions);
  }
  return actions;
}

// The upstream's connection is gone; only the record stays, for what is still under way.
void Decisions::beginClosing(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mState == FlowState::kClosing) {
    return;
  }
  endLoad(aNow, aRecord);
  aRecord.mState = FlowState::kClosing;
  aRecord.mIsBusy = false;
  aRecord.mIsExpected = false;
}

void Decisions::endLoad(base::Time aNow, const FlowRecord& aRecord)
{
  if (aRecord.mIsBusy) {
    mAdmission.requestAbandoned(aNow);
  }
  if (aRecord.mIsExpected) {
    mAdmission.expectationEnded(aNow);
  }
  mAdmission.flowClosed(aNow);
}

void Decisions::updateLoad(base::Time aNow, FlowRecord& aRecord)
{
  if (aRecord.mIsExpected && aNow - aRecord.mLastSeen > kExpectation) {
    aRecord.mIsExpected = false;
    mAdmission.expectationEnded(aNow);
  }
  if (aRecord.mIsBusy && aNow - aRecord.mBusySince > kAnswerTimeout) {
    aRecord.mIsBusy = false;
    aRecord.mIsOneWay = true;
    mAdmission.requestAbandoned(aNow);
  }
}

void Decisions::onLoadReport(base::Time aNow, const wire::LoadReport& aReport)
{
  if (mReporters.count(aReport.mUpstream) > 0) {
    mAdmission.learn(aNow, aReport);
  }
}

Actions Decisions::onReportTimer(base::Time aNow)
{
  Actions actions;
  if (!mUpstream || mReportTargets.empty() || !mConfiguration->mayOpen(*mUpstream)) {
    return actions;
  }
  const wire::LoadReport report = mAdmission.report(aNow, mUpstream->mIdentity);
  for (std::size_t i = 0; i < std::min(kReportFanout, mReportTargets.size()); ++i) {
    actions.emplace_back(
      SendMessage{ mReportTargets[mNextTarget++ % mReportTargets.size()], report });
  }
  return actions;
}

} // namespace cornelcross::agent
