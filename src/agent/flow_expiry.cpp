#include "agent/flow_manager.hpp"

// Members of FlowManager that close flows and that run at intervals.
namespace cornelcross::agent {

namespace {

flow::RunVerdict verdictOf(const FlowRecord& aRecord)
{
  return aRecord.mState == FlowState::kHalfOpen ? flow::RunVerdict::kNotRun
                                                : flow::RunVerdict::kMayHaveRun;
}

} // namespace

telemetry::Event FlowManager::closeFlow(base::Time aNow,
                                        const flow::FlowKey& aFlow,
                                        const FlowRecord& aRecord,
                                        const std::string& aReason)
{
  if (aRecord.mState != FlowState::kClosing) {
    releaseLoad(aNow, aRecord);
  }
  return { telemetry::EventKind::kFlowClosed,
           { { "flow", aFlow.toString() },
             { "reason", aReason },
             { "verdict", std::string(toString(verdictOf(aRecord))) } } };
}

void FlowManager::probeSilentFlows(base::Time aNow, Actions& aActions)
{
  if (!mPacketFormat.mMakeEmptySegment || !mUpstream ||
      !mConfiguration->acceptsPackets(*mUpstream)) {
    return;
  }
  mKeepAliveProber.startRound();
  mFlows.forEach([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    aRecord.mIsUnresponsive =
      mKeepAliveProber.probeFlow(aNow, aFlow, mUpstream->mAddress, aRecord, aActions);
  });
}

bool FlowManager::isExpired(base::Time aNow, const FlowRecord& aRecord) const
{
  const base::Duration idle = aNow - aRecord.mLastPacketAt;
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

Actions FlowManager::onFlowTimer(base::Time aNow)
{
  mUpstreamQueries.expire(aNow);
  Actions actions;
  probeSilentFlows(aNow, actions);
  mFlows.eraseIf([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    if (!aRecord.mIsUnresponsive && !isExpired(aNow, aRecord)) {
      expireLoad(aNow, aRecord);
      return false;
    }
    actions.emplace_back(
      closeFlow(aNow, aFlow, aRecord, aRecord.mIsUnresponsive ? "silent" : "expired"));
    return true;
  });
  return actions;
}

Actions FlowManager::onProbeTimer(base::Time aNow)
{
  Actions actions;
  for (const flow::Endpoint peer : mFailureDetector.selectProbeTargets(aNow)) {
    actions.emplace_back(SendMessage{
      peer, wire::Probe{ ++mLastProbeNonce, mFailureDetector.unansweredProbes(peer) } });
  }
  append(actions, mCandidateForwarder.ownerLookups().onTimer(aNow));
  append(actions, tryUpstream(aNow));
  return actions;
}

} // namespace cornelcross::agent
