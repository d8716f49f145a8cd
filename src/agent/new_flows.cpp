#include "agent/flow_manager.hpp"

#include <algorithm>
#include <utility>

/// The part of the decisions that opens new flows.
namespace cornelcross::agent {

void FlowManager::editSyn(flow::Bytes& aBytes, const flow::TcpPacket& aPacket) const
{
  if (mPacketFormat.mStripSynPayload) {
    mPacketFormat.mStripSynPayload(aBytes, aPacket);
  }
  if (mPacketFormat.mClampMss) {
    mPacketFormat.mClampMss(aBytes, aPacket, mSettings.mMaxSegmentBytes);
  }
}

Actions FlowManager::onSyn(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
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
  if (isReuse && (mIsStopping || !mConfiguration->acceptsNewFlows(*mUpstream))) {
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  const bool isUnanswered = record->mState == FlowState::kHalfOpen && !record->mIsAnswered;
  // An upstream that returns what it doesn't take has answered long before a retransmission.
  const bool isSilent = mPacketFormat.returnsPackets() && mChain.hasNext(aForward);
  if (isUnanswered && (isSilent || mUpstreamWatch.isDown(aNow))) {
    // The upstream never saw it; what it may still answer finds no record and goes no further.
    Actions actions{ close(aNow, aPacket.keyFromCaller(), *record, "upstream_silent") };
    mFlows.erase(aPacket.keyFromCaller());
    append(actions, mChain.pass(aNow, aPacket, std::move(aForward)));
    return actions;
  }
  if (isUnanswered) {
    mUpstreamWatch.noteSyn(aNow);
  }
  record->mPendingInitial = isReuse ? aPacket.mSequence : 0;
  record->mLastSeen = aNow;
  editSyn(aForward.mPacket, aPacket);
  flow::Bytes bytes = std::move(aForward.mPacket);
  return deliverReturnable(std::move(bytes), aForward);
}

Actions FlowManager::open(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
{
  const std::uint8_t hops = aForward.mHops;
  Actions actions = explained(decideOpening(aNow, aPacket, std::move(aForward)));
  noteSettled(actions, hops);
  return actions;
}

void FlowManager::noteSettled(const Actions& aActions, std::uint8_t aHops) const
{
  const bool isSettled = std::any_of(aActions.begin(), aActions.end(), [](const Action& aAction) {
    const auto* event = std::get_if<telemetry::Event>(&aAction);
    return event != nullptr && (event->mKind == telemetry::EventKind::kFlowOpened ||
                                event->mKind == telemetry::EventKind::kFlowRefused);
  });
  if (isSettled && mObservers.mOnSettled) {
    mObservers.mOnSettled(aHops);
  }
}

// What this agent, the last one asked, could have done about a flow that is refused.
Actions FlowManager::explained(Actions aActions) const
{
  for (Action& action : aActions) {
    auto* event = std::get_if<telemetry::Event>(&action);
    if (event == nullptr || event->mKind != telemetry::EventKind::kFlowRefused) {
      continue;
    }
    event->mFields.insert(
      event->mFields.end(),
      { { "upstream", mUpstream->mName },
        { "state", std::string(toString(mUpstream->mState)) },
        { "busy", std::to_string(mAdmission.activeRequests()) },
        { "expected", std::to_string(mAdmission.load() - mAdmission.activeRequests()) },
        { "flows", std::to_string(mAdmission.openFlows()) },
        { "limit", std::to_string(mAdmission.requestLimit()) },
        { "room", std::to_string(mAdmission.freeFlowCapacity()) },
        { "cold", mAdmission.isCold() ? "yes" : "no" } });
  }
  return aActions;
}

Actions FlowManager::decideOpening(base::Time aNow,
                                   const flow::TcpPacket& aPacket,
                                   wire::Forward aForward)
{
  if (mQueuedFlows.count(aPacket.keyFromCaller()) > 0) {
    return { DropPacket{ DropReason::kAlreadyQueued } };
  }
  const bool isEligible = !mIsStopping && mUpstreamWatch.acceptsNewFlows(aNow) &&
                          mConfiguration->acceptsNewFlows(*mUpstream);
  admission::CandidateState offer = mAdmission.candidateState(aNow, isEligible);
  offer.mFreeCapacity = mPending.flows() == 0 ? offer.mFreeCapacity : std::uint16_t{ 0 };
  const auto count = aForward.mCandidateIndex + (mChain.hasNext(aForward) ? 2 : 1);
  const admission::PlacementDecision step = admission::decidePlacement(
    aForward.mPlacement, aForward.mCandidateIndex, static_cast<std::uint8_t>(count), offer);
  if (const auto* pass = std::get_if<admission::ForwardTo>(&step)) {
    return passOpening(aNow, aPacket, std::move(aForward), *pass);
  }
  if (std::holds_alternative<admission::Enqueue>(step)) {
    if (mSettings.mAdmission.mMaxQueueTime == base::Duration::zero()) {
      return mChain.end(aPacket, aForward);
    }
    return queueFlow(aNow, aPacket, std::move(aForward));
  }
  if (std::holds_alternative<admission::Refuse>(step)) {
    // None of these candidates is eligible; there may be others.
    aForward.mPlacement = {};
    return mChain.pass(aNow, aPacket, std::move(aForward));
  }
  return admit(aNow, aPacket, std::move(aForward));
}

Actions FlowManager::admit(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward)
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
  mUpstreamQueries.erase(aPacket.keyFromCaller());
  mAdmission.onFlowOpened(aNow);
  editSyn(aForward.mPacket, aPacket);
  flow::Bytes bytes = std::move(aForward.mPacket);
  Actions actions = deliverReturnable(std::move(bytes), aForward);
  sendOwnerUpdate(aPacket.keyFromCaller(), aForward, actions);
  actions.emplace_back(telemetry::Event{
    telemetry::EventKind::kFlowOpened,
    { { "flow", aPacket.keyFromCaller().toString() }, { "upstream", mUpstream->mName } } });
  return actions;
}

} // namespace cornelcross::agent
