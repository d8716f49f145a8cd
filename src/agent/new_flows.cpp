#include "agent/flow_manager.hpp"

#include <algorithm>
#include <utility>

// Members of FlowManager that place and admit new flows.
namespace cornelcross::agent {

void FlowManager::rewriteSyn(flow::Bytes& aBytes, const flow::TcpPacket& aPacket) const
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
    return onNewFlow(aNow, aPacket, std::move(aForward));
  }
  const bool isReuse = record->mCallerInitialSequence != aPacket.mSequence;
  if (!mayReceiveSyn(aNow)) {
    return onSynAfterEnd(aNow, aPacket, std::move(aForward), *record);
  }
  if (isReuse && record->mState == FlowState::kClosing) {
    Actions actions{ closeFlow(aNow, aPacket.keyFromCaller(), *record, "port_reused") };
    mFlows.erase(aPacket.keyFromCaller());
    append(actions, onNewFlow(aNow, aPacket, std::move(aForward)));
    return actions;
  }
  // The SYN is a retransmission, or arrives in an open connection. The upstream's TCP answers a SYN
  // in an open connection itself (RFC 5961, section 4).
  if (isReuse && (mIsStopping || !mConfiguration->acceptsNewFlows(*mUpstream))) {
    return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
  }
  const bool isUnanswered = record->mState == FlowState::kHalfOpen && !record->mHasSynAck;
  // An upstream that returns unaccepted packets has replied to a SYN long before its
  // retransmission.
  const bool isSilent =
    mPacketFormat.returnsPackets() && mCandidateForwarder.hasNextCandidate(aForward);
  if (isUnanswered && (isSilent || mUpstreamHealth.isDown(aNow))) {
    // The upstream did not receive the earlier SYN. A late SYN-ACK of the upstream has no record
    // and is dropped.
    Actions actions{ closeFlow(aNow, aPacket.keyFromCaller(), *record, "upstream_silent") };
    mFlows.erase(aPacket.keyFromCaller());
    append(actions, mCandidateForwarder.forward(aNow, aPacket, std::move(aForward)));
    return actions;
  }
  if (isUnanswered) {
    mUpstreamHealth.recordSyn(aNow);
  }
  record->mPendingInitialSequence = isReuse ? aPacket.mSequence : 0;
  record->mLastPacketAt = aNow;
  rewriteSyn(aForward.mPacket, aPacket);
  flow::Bytes bytes = std::move(aForward.mPacket);
  return deliverReturnable(std::move(bytes), aForward);
}

Actions FlowManager::onNewFlow(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  const std::uint8_t hops = aForward.mHops;
  Actions actions = withRefusalDetails(placeFlow(aNow, aPacket, std::move(aForward)));
  recordVisitedAgents(actions, hops);
  return actions;
}

void FlowManager::recordVisitedAgents(const Actions& aActions, std::uint8_t aHops) const
{
  const bool isDecided = std::any_of(aActions.begin(), aActions.end(), [](const Action& aAction) {
    const auto* event = std::get_if<telemetry::Event>(&aAction);
    return event != nullptr && (event->mKind == telemetry::EventKind::kFlowOpened ||
                                event->mKind == telemetry::EventKind::kFlowRefused);
  });
  if (isDecided && mMeasurementCallbacks.mOnPlacementDecided) {
    mMeasurementCallbacks.mOnPlacementDecided(aHops);
  }
}

// Adds the state of this agent, the last visited candidate, to the events of refused flows.
Actions FlowManager::withRefusalDetails(Actions aActions) const
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

Actions FlowManager::placeFlow(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  if (mQueuedFlows.count(aPacket.keyFromCaller()) > 0) {
    return { DropPacket{ DropReason::kAlreadyQueued } };
  }
  const bool isEligible =
    !mIsStopping && upstreamAcceptsNewFlows(aNow) && mConfiguration->acceptsNewFlows(*mUpstream);
  admission::CandidateState state = mAdmission.candidateState(aNow, isEligible);
  state.mFreeCapacity =
    mAdmissionQueue.queuedFlows() == 0 ? state.mFreeCapacity : std::uint16_t{ 0 };
  if (aForward.mIsCopy) {
    return admitHedgedFlow(aNow, aPacket, std::move(aForward), state);
  }
  const auto count =
    aForward.mCandidateIndex + (mCandidateForwarder.hasNextCandidate(aForward) ? 2 : 1);
  const admission::PlacementDecision decision = admission::decidePlacement(
    aForward.mPlacement, aForward.mCandidateIndex, static_cast<std::uint8_t>(count), state);
  if (const auto* target = std::get_if<admission::ForwardTo>(&decision)) {
    return forwardNewFlow(aNow, aPacket, std::move(aForward), *target);
  }
  if (std::holds_alternative<admission::Enqueue>(decision)) {
    return queueOrRefuse(aNow, aPacket, std::move(aForward));
  }
  if (std::holds_alternative<admission::Refuse>(decision)) {
    // No candidate of this page is eligible. Another page may have an eligible candidate.
    aForward.mPlacement = {};
    return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
  }
  return admitFlow(aNow, aPacket, std::move(aForward));
}

// Another agent may admit the flow, so that it is not refused here. A cold upstream gets no extra
// work.
Actions FlowManager::admitHedgedFlow(base::Time aNow,
                                     const flow::TcpPacket& aPacket,
                                     wire::Forward aForward,
                                     const admission::CandidateState& aState)
{
  if (!aState.mIsEligible || aState.mFreeCapacity == 0 || mAdmission.isCold()) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  return admitFlow(aNow, aPacket, std::move(aForward));
}

Actions FlowManager::admitFlow(base::Time aNow,
                               const flow::TcpPacket& aPacket,
                               wire::Forward aForward)
{
  FlowRecord record;
  record.mCallerInitialSequence = aPacket.mSequence;
  record.mIsAwaitingFirstRequest = true;
  record.mRequestStartedAt = aNow;
  record.mCallerNextSequence = aPacket.mSequence + 1;
  record.mIsCallerNextValid = true;
  record.mLastPacketAt = aNow;
  mFlows.insert(aPacket.keyFromCaller(), record);
  mUpstreamHealth.recordSyn(aNow);
  mFlapDetector.recordFlow(aNow);
  mUpstreamQueries.erase(aPacket.keyFromCaller());
  mAdmission.onFlowOpened(aNow);
  rewriteSyn(aForward.mPacket, aPacket);
  flow::Bytes bytes = std::move(aForward.mPacket);
  Actions actions = deliverReturnable(std::move(bytes), aForward);
  sendOwnerUpdate(aPacket.keyFromCaller(), aForward, actions);
  actions.emplace_back(openedEvent(aNow, aPacket.keyFromCaller()));
  return actions;
}

// States what the configuration lists, what the settings state, and why the agent took the upstream
// for running, as each may be wrong if another service serves the flow.
telemetry::Event FlowManager::openedEvent(base::Time aNow, const flow::FlowKey& aFlow) const
{
  telemetry::Event event{ telemetry::EventKind::kFlowOpened,
                          { { "flow", aFlow.toString() },
                            { "service", mServiceName },
                            { "upstream", mUpstream->mName },
                            { "address", mUpstream->mAddress.toString() },
                            { "started_at_ms", std::to_string(mUpstream->mStartedAtMs) },
                            { "revision", std::to_string(revision()) } } };
  if (!mSettings.mService.empty()) {
    event.mFields.emplace_back("expected_service", mSettings.mService);
  }
  if (mSettings.mUpstreamAddress) {
    event.mFields.emplace_back("expected_address", mSettings.mUpstreamAddress->toString());
  }
  if (const auto& proof = mUpstreamWatch.proof()) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - proof->mAt);
    event.mFields.emplace_back("proof", std::string(toString(proof->mKind)));
    event.mFields.emplace_back("proof_age_ms", std::to_string(age.count()));
  }
  return event;
}

} // namespace cornelcross::agent
