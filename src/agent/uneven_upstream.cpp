#include "agent/flow_manager.hpp"

#include <utility>

// Members of FlowManager that handle an upstream that fails, flaps or has ended.
namespace cornelcross::agent {

bool FlowManager::upstreamAcceptsNewFlows(base::Time aNow) const
{
  return mUpstreamHealth.acceptsNewFlows(aNow) && mFlapDetector.acceptsNewFlows(aNow) &&
         mUpstreamWatch.mayReceiveFlows(aNow);
}

void FlowManager::recordUpstreamAccepts(base::Time aNow, Actions& aActions)
{
  const bool wasDown = mUpstreamHealth.isDown(aNow);
  mUpstreamHealth.recordSynAck();
  if (mSettings.mAdmission.mBalancesBySpeed && wasDown && mFlapDetector.recordRecovery(aNow)) {
    aActions.emplace_back(unevenEvent(aNow, "flapping"));
  }
}

void FlowManager::reportFailing(base::Time aNow, Actions& aActions)
{
  const bool isFailing = mAdmission.isFailing();
  if (std::exchange(mIsFailingReported, isFailing) != isFailing) {
    aActions.emplace_back(unevenEvent(aNow, isFailing ? "failing" : "recovered"));
  }
}

telemetry::Event FlowManager::unevenEvent(base::Time aNow, const std::string& aReason) const
{
  return { telemetry::EventKind::kUpstreamUneven,
           { { "upstream", mUpstream ? mUpstream->mName : "none" },
             { "reason", aReason },
             { "speed", std::to_string(mAdmission.relativeSpeed(aNow)) } } };
}

} // namespace cornelcross::agent
