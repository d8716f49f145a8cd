#include "admission/admission_control.hpp"

#include <algorithm>
#include <cmath>

namespace cornelcross::admission {

namespace {

/// Time constant of the mean load: several requests, and several reports.
constexpr base::Duration kMeanTime = std::chrono::milliseconds(500);

/// Resets within kResetWindow from which the upstream counts as restarted. One alone may be an
/// application's own.
constexpr std::uint32_t kRestartResets = 2;
constexpr base::Duration kResetWindow = std::chrono::seconds(1);

/// Span over which a stated rate of new flows is counted.
constexpr base::Duration kRateWindow = std::chrono::seconds(1);

/// Part of a new sample in the mean time from an admission to the first request.
constexpr double kExpectationWeight = 0.05;

} // namespace

AdmissionControl::AdmissionControl(const AdmissionSettings& aSettings)
  : mSettings(aSettings), mLimit(aSettings.mLimit)
{
}

// An upstream that was leaving, or whose zone was out, has been emptied and most likely restarted,
// whether operators declare it joining or not.
void AdmissionControl::configure(base::Time aNow,
                                 std::uint32_t aSlots,
                                 bool aIsEligible,
                                 bool aIsJoining,
                                 config::ColdStart aColdStart)
{
  mColdStart = aColdStart;
  mLimit.configure(aSlots, aIsJoining);
  if ((aIsEligible && !mIsEligible) || (aIsJoining && !mIsJoining)) {
    onUpstreamRestarted(aNow);
  }
  mIsEligible = aIsEligible;
  mWasEligible = mWasEligible || aIsEligible;
  mIsJoining = aIsJoining;
}

// At its own start an agent can't tell a cold upstream from a warm one unless that is joining; a
// stated length counts for what the agent saw happen.
void AdmissionControl::onUpstreamRestarted(base::Time aNow)
{
  if (mWasEligible && mColdStart.mDurationMs > 0) {
    mLimit.restart(aNow, std::chrono::milliseconds(mColdStart.mDurationMs));
  } else {
    mLimit.restart(aNow);
  }
  mLimit.advance(aNow);
}

bool AdmissionControl::mayOpenCold(base::Time aNow) const
{
  if (!isCold() || mColdStart.mMaxNewFlowsPerSecond == 0) {
    return true;
  }
  const auto recent = std::count_if(mOpenings.begin(), mOpenings.end(), [&](base::Time aOpened) {
    return aNow - aOpened < kRateWindow;
  });
  return recent < static_cast<std::ptrdiff_t>(mColdStart.mMaxNewFlowsPerSecond);
}

CandidateState AdmissionControl::candidateState(base::Time aNow, bool aIsEligible) const
{
  const double share = mService.share(aNow, meanLoad(aNow), requestLimit());
  const bool isBelow = load() + 1 <= share;
  return { aIsEligible && mayOpenCold(aNow),
           isBelow,
           static_cast<std::uint16_t>(std::min(freeFlowCapacity(), 0xFFFFU)) };
}

void AdmissionControl::onFlowOpened(base::Time aNow)
{
  advance(aNow);
  ++mFlows;
  ++mExpected;
  if (isCold() && mColdStart.mMaxNewFlowsPerSecond > 0) {
    mOpenings.push_back(aNow);
    while (aNow - mOpenings.front() >= kRateWindow) {
      mOpenings.pop_front();
    }
  }
}

// The flow is older than the agent, and so is the upstream: the agent alone has restarted.
void AdmissionControl::onFlowAdopted(base::Time)
{
  if (!mIsJoining) {
    mLimit.endColdStart();
  }
  ++mFlows;
}

void AdmissionControl::onFlowClosed(base::Time)
{
  --mFlows;
}

void AdmissionControl::onFirstRequestTimeout(base::Time aNow)
{
  advance(aNow);
  --mExpected;
}

void AdmissionControl::onFirstRequest(base::Duration aDelay)
{
  mExpectation += (static_cast<double>(aDelay.count()) - mExpectation) * kExpectationWeight;
}

// Little's law: a full upstream answers limit / answer time requests a second, so that this rate
// times the expectation are under way. Without them a slot stays empty for a round trip after each
// answer. What comes too early waits at the agent. A cold upstream gets no flow in advance.
std::uint32_t AdmissionControl::flowLimit() const
{
  const auto usual = static_cast<double>(mLimit.baselineLatency().count());
  if (!mSettings.mLimit.mIsAdaptive) {
    const bool isBounded = isCold() && mColdStart.mMaxNewFlowsPerSecond > 0;
    return requestLimit() * (1 + (isBounded ? 0 : mSettings.mUpstreamQueuePerSlot));
  }
  if (isCold() || usual <= 0) {
    return requestLimit();
  }
  const double underWay = std::min(mExpectation / usual, 1.0) * requestLimit();
  return requestLimit() + static_cast<std::uint32_t>(std::ceil(underWay));
}

std::uint32_t AdmissionControl::freeFlowCapacity() const
{
  const std::uint32_t byLoad = load() < flowLimit() ? flowLimit() - load() : 0;
  const std::uint32_t byFlows = mFlows < mSettings.mMaxFlows ? mSettings.mMaxFlows - mFlows : 0;
  return std::min(byLoad, byFlows);
}

void AdmissionControl::onRequestStarted(base::Time aNow, bool aIsExpected)
{
  advance(aNow);
  ++mActiveRequests;
  mExpected -= aIsExpected ? 1 : 0;
}

void AdmissionControl::onRequestAnswered(base::Time aNow, base::Duration aLatency)
{
  advance(aNow);
  mLimit.onAnswer(aNow, aLatency, load());
  --mActiveRequests;
}

void AdmissionControl::onRequestAborted(base::Time aNow)
{
  advance(aNow);
  --mActiveRequests;
}

void AdmissionControl::onUpstreamReset(base::Time aNow)
{
  if (mResets == 0 || aNow - mFirstReset > kResetWindow) {
    mResets = 0;
    mFirstReset = aNow;
  }
  if (++mResets >= kRestartResets) {
    mLimit.restart(aNow);
    mResets = 0;
  }
}

void AdmissionControl::onLoadReport(base::Time aNow, const wire::LoadReport& aReport)
{
  mService.store(aNow, aReport);
}

wire::LoadReport AdmissionControl::makeLoadReport(base::Time aNow, std::uint64_t aUpstream)
{
  advance(aNow);
  mLimit.compareWith(mService.answerTime(aNow));
  const auto answerTime =
    std::chrono::duration_cast<std::chrono::microseconds>(mLimit.recentLatency());
  return { aUpstream,
           mActiveRequests,
           requestLimit(),
           mFlows,
           static_cast<std::uint32_t>(std::lround(mMeanLoad * wire::kLoadUnitsPerRequest)),
           static_cast<std::uint32_t>(answerTime.count()) };
}

double AdmissionControl::meanLoad(base::Time aNow) const
{
  const double elapsed = std::chrono::duration<double>(aNow - mUpdated) / kMeanTime;
  return load() + (mMeanLoad - load()) * std::exp(-elapsed);
}

void AdmissionControl::advance(base::Time aNow)
{
  mLimit.advance(aNow);
  mMeanLoad = meanLoad(aNow);
  mUpdated = aNow;
}

} // namespace cornelcross::admission
