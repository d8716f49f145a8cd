#include "bench/policy/admission_policy.hpp"

namespace cornelcross::bench {

namespace {

/// One way between two availability zones.
constexpr base::Duration kHop = std::chrono::microseconds(3500);

} // namespace

AdmissionPolicy::AdmissionPolicy(Service& aService,
                                 const ReportChannel& aChannel,
                                 const admission::AdmissionSettings& aSettings)
  : Policy(aService), mChannel(aChannel), mSettings(aSettings)
{
  for (std::size_t i = 0; i < aService.mUpstreams.size(); ++i) {
    mAgents.emplace_back(aSettings);
    mAgents.back().mControl.configure(aService.mEvents.now(), aService.mSlots, true, false);
  }
  report();
}

void AdmissionPolicy::open(const FlowPtr& aFlow)
{
  step(aFlow, 0, {});
}

void AdmissionPolicy::step(const FlowPtr& aFlow,
                           std::uint8_t aPosition,
                           const wire::PlacementState& aWalk)
{
  const std::size_t index = aFlow->mRanks[aPosition];
  Agent& agent = mAgents[index];
  admission::CandidateState offer =
    agent.mControl.candidateState(mService.mEvents.now(), mService.mIsEligible[index]);
  offer.mFreeCapacity =
    agent.mPending.queuedFlows() == 0 ? offer.mFreeCapacity : std::uint16_t{ 0 };
  const auto count = static_cast<std::uint8_t>(aFlow->mRanks.size());
  const admission::PlacementDecision next =
    admission::decidePlacement(aWalk, aPosition, count, offer);
  if (const auto* pass = std::get_if<admission::ForwardTo>(&next)) {
    mService.mEvents.after(
      kHop, [this, aFlow, pass = *pass] { step(aFlow, pass.mCandidateIndex, pass.mPlacement); });
  } else if (std::holds_alternative<admission::Admit>(next)) {
    admit(aFlow, index);
  } else if (std::holds_alternative<admission::Enqueue>(next)) {
    const base::Time now = mService.mEvents.now();
    const auto evicted =
      agent.mPending.pushFlow(now, { aFlow->mWorkspace, 0, now + mSettings.mMaxQueueTime }, aFlow);
    if (evicted) {
      mService.mRefuse(*evicted);
    }
  } else {
    mService.mRefuse(aFlow);
  }
}

void AdmissionPolicy::admit(const FlowPtr& aFlow, std::size_t aAgent)
{
  aFlow->mIsExpected = true;
  aFlow->mAdmitted = mService.mEvents.now();
  mAgents[aAgent].mControl.onFlowOpened(mService.mEvents.now());
  mService.mAdmit(aFlow, aAgent);
}

void AdmissionPolicy::request(const FlowPtr& aFlow)
{
  Agent& agent = mAgents[aFlow->mUpstream];
  if (aFlow->mIsExpected) {
    agent.mControl.onFirstRequest(mService.mEvents.now() - aFlow->mAdmitted);
  }
  const bool isAtLimit =
    agent.mControl.freeRequestCapacity() == 0 || agent.mPending.queuedRequests() > 0;
  if (mSettings.mQueuesRequests && isAtLimit) {
    agent.mPending.pushRequest(mService.mEvents.now(), { aFlow->mWorkspace }, aFlow);
    return;
  }
  start(aFlow);
}

void AdmissionPolicy::start(const FlowPtr& aFlow)
{
  mAgents[aFlow->mUpstream].mControl.onRequestStarted(mService.mEvents.now(), aFlow->mIsExpected);
  aFlow->mIsExpected = false;
  aFlow->mIsBusy = true;
  mService.mStart(aFlow);
}

void AdmissionPolicy::answered(const FlowPtr& aFlow, base::Duration aLatency)
{
  mAgents[aFlow->mUpstream].mControl.onRequestAnswered(mService.mEvents.now(), aLatency);
  release(aFlow->mUpstream);
}

void AdmissionPolicy::closed(const FlowPtr& aFlow, bool aIsReset)
{
  admission::AdmissionControl& control = mAgents[aFlow->mUpstream].mControl;
  if (aFlow->mIsExpected) {
    control.onFirstRequestTimeout(mService.mEvents.now());
  }
  if (aFlow->mIsBusy) {
    control.onRequestAborted(mService.mEvents.now());
  }
  if (aIsReset) {
    control.onUpstreamReset(mService.mEvents.now());
  }
  control.onFlowClosed(mService.mEvents.now());
  release(aFlow->mUpstream);
}

void AdmissionPolicy::release(std::size_t aAgent)
{
  Agent& agent = mAgents[aAgent];
  while (agent.mControl.freeRequestCapacity() > 0 && agent.mPending.queuedRequests() > 0) {
    start(*agent.mPending.popRequest());
  }
  while (agent.mControl.freeFlowCapacity() > 0 && agent.mPending.queuedFlows() > 0) {
    admit(*agent.mPending.popFlow(), aAgent);
  }
}

void AdmissionPolicy::tick()
{
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    auto& pending = mAgents[i].mPending;
    for (const FlowPtr& flow : mService.mIsEligible[i]
                                 ? pending.removeExpiredFlows(mService.mEvents.now())
                                 : pending.removeAllFlows()) {
      mService.mRefuse(flow);
    }
    release(i);
  }
}

std::size_t AdmissionPolicy::held() const
{
  std::size_t count = 0;
  for (const Agent& agent : mAgents) {
    count += agent.mPending.queuedFlows();
  }
  return count;
}

void AdmissionPolicy::reconfigured()
{
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    mAgents[i].mControl.configure(
      mService.mEvents.now(), mService.mSlots, mService.mIsEligible[i], false);
  }
}

void AdmissionPolicy::report()
{
  for (std::size_t from = 0; from < mAgents.size(); ++from) {
    const auto message = mAgents[from].mControl.makeLoadReport(mService.mEvents.now(), from);
    for (std::size_t to = 0; to < mAgents.size(); ++to) {
      if (to != from && mService.mIsEligible[from] && !mService.mRandom.happens(mChannel.mLoss)) {
        mService.mEvents.after(mChannel.mDelay, [this, to, message] {
          mAgents[to].mControl.onLoadReport(mService.mEvents.now(), message);
        });
      }
    }
  }
  mService.mEvents.after(mChannel.mInterval, [this] { report(); });
}

} // namespace cornelcross::bench
