#include "agent/flow_manager.hpp"

/// The part of the decisions that ends flows and runs at intervals.
namespace cornelcross::agent {

namespace {

flow::RunVerdict verdictOf(const FlowRecord& aRecord)
{
  return aRecord.mState == FlowState::kHalfOpen ? flow::RunVerdict::kNotRun
                                                : flow::RunVerdict::kMayHaveRun;
}

} // namespace

telemetry::Event FlowManager::close(base::Time aNow,
                                    const flow::FlowKey& aFlow,
                                    const FlowRecord& aRecord,
                                    const std::string& aReason)
{
  if (aRecord.mState != FlowState::kClosing) {
    endLoad(aNow, aRecord);
  }
  return { telemetry::EventKind::kFlowClosed,
           { { "flow", aFlow.toString() },
             { "reason", aReason },
             { "verdict", std::string(toString(verdictOf(aRecord))) } } };
}

void FlowManager::keepAlive(base::Time aNow, Actions& aActions)
{
  if (!mPacketFormat.mMakeEmptySegment || !mUpstream ||
      !mConfiguration->acceptsPackets(*mUpstream)) {
    return;
  }
  mKeepAlive.beginRound();
  mFlows.forEach([&](const flow::FlowKey& aFlow, FlowRecord& aRecord) {
    aRecord.mIsSilent = mKeepAlive.check(aNow, aFlow, mUpstream->mAddress, aRecord, aActions);
  });
}

bool FlowManager::isExpired(base::Time aNow, const FlowRecord& aRecord) const
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

Actions FlowManager::onTick(base::Time aNow)
{
  mUpstreamQueries.expire(aNow);
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

Actions FlowManager::onPeerTick(base::Time aNow)
{
  Actions actions;
  for (const flow::Endpoint peer : mFailureDetector.selectProbeTargets(aNow)) {
    actions.emplace_back(
      SendMessage{ peer, wire::Probe{ ++mNonce, mFailureDetector.unansweredProbes(peer) } });
  }
  return actions;
}

} // namespace cornelcross::agent
