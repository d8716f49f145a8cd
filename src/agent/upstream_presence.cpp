#include "agent/flow_manager.hpp"

#include <utility>

// Members of FlowManager that follow which process runs beside the agent.
namespace cornelcross::agent {

// Nothing that was observed of the former upstream holds for its successor.
Actions FlowManager::setUpstream(base::Time aNow,
                                 const std::string& aService,
                                 std::optional<flow::Endpoint> aUpstream)
{
  Actions actions = closeAllFlows(aNow);
  mSettings.mService = aService;
  mSettings.mUpstreamAddress = aUpstream;
  mEvidence =
    OwnershipEvidence(mSettings.mRecoveryWindow, aUpstream, mSettings.mUpstreamAcceptsTcp);
  mUpstreamWatch = UpstreamWatch(mSettings.upstreamWatch());
  append(actions, apply(aNow, mConfiguration));
  return actions;
}

Actions FlowManager::onUpstreamChecked(base::Time aNow, const UpstreamCheck& aCheck)
{
  mUpstreamWatch.onConnectionChecked(aNow, aCheck.mIsConnected, aCheck.mPacketsHandledUntil);
  if (aCheck.mIsConfirmed) {
    mUpstreamWatch.onConfirmed();
  }
  if (aCheck.mServiceRespondedAt) {
    mUpstreamWatch.onServiceResponse(aNow, *aCheck.mServiceRespondedAt);
  }
  Actions actions = presenceEvents(aNow);
  append(actions, watchUpstream(aNow));
  if (mUpstream && mUpstreamWatch.startRecordRead(aNow)) {
    actions.emplace_back(ReadUpstreamRecord{ mUpstream->mName });
  }
  return actions;
}

Actions FlowManager::watchUpstream(base::Time aNow)
{
  if (!mSettings.mUpstreamAddress || !mUpstreamWatch.startAttempt(aNow)) {
    return {};
  }
  return { WatchUpstream{ *mSettings.mUpstreamAddress } };
}

Actions FlowManager::onUpstreamRecord(base::Time aNow,
                                      const std::optional<config::UpstreamRecord>& aRecord)
{
  mUpstreamWatch.onRecord(aNow, aRecord);
  return presenceEvents(aNow);
}

Actions FlowManager::onWatchAttempt(base::Time aNow, flow::ConnectionOutcome aOutcome)
{
  mUpstreamWatch.onAttempt(aNow, aOutcome);
  return presenceEvents(aNow);
}

Actions FlowManager::presenceEvents(base::Time aNow)
{
  const bool hasEnded = mUpstreamWatch.hasEnded(aNow);
  if (!mUpstream || hasEnded == std::exchange(mIsEndReported, hasEnded)) {
    return {};
  }
  return { telemetry::Event{ telemetry::EventKind::kUpstreamEnded,
                             { { "upstream", mUpstream->mName },
                               { "started_at_ms", std::to_string(mUpstream->mStartedAtMs) },
                               { "ended", hasEnded ? "yes" : "no" },
                               { "revision", std::to_string(revision()) } } } };
}

// The process that answers at the endpoint of an upstream that has ended or is no longer listed may
// serve another service.
bool FlowManager::mayReceiveSyn(base::Time aNow) const
{
  return mUpstream->mState != config::UpstreamState::kRemoved &&
         mUpstreamWatch.mayReceiveFlows(aNow);
}

Actions FlowManager::onSynAfterEnd(base::Time aNow,
                                   const flow::TcpPacket& aPacket,
                                   wire::Forward aForward,
                                   const FlowRecord& aRecord)
{
  if (aRecord.mState != FlowState::kHalfOpen) {
    const bool isLateCopy = aRecord.mCallerInitialSequence == aPacket.mSequence;
    return isLateCopy ? Actions{ DropPacket{ DropReason::kNoOwner } }
                      : mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
  }
  const flow::FlowKey key = aPacket.keyFromCaller();
  Actions actions{ closeFlow(aNow, key, aRecord, "upstream_ended") };
  mFlows.erase(key);
  append(actions, onNewFlow(aNow, aPacket, std::move(aForward)));
  return actions;
}

} // namespace cornelcross::agent
