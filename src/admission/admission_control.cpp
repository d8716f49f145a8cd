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
                                 bool aIsJoining)
{
  mLimit.configure(aSlots, aIsJoining);
  if ((aIsEligible && !mIsEligible) || (aIsJoining && !mIsJoining)) {
    mLimit.restart(aNow);
  }
  mIsEligible = aIsEligible;
  mIsJoining = aIsJoining;
}

Offer AdmissionControl::offer(base::Time aNow, bool aIsEligible) const
{
  if (mFlows >= mSettings.mMaxFlows) {
    return { aIsEligible, false, 0 };
  }
  const double share = mService.share(aNow, meanLoad(aNow), limit());
  const bool isBelow = load() + 1 <= share;
  return { aIsEligible, isBelow, static_cast<std::uint16_t>(std::min(flowRoom(), 0xFFFFU)) };
}

void AdmissionControl::flowOpened(base::Time aNow)
{
  advance(aNow);
  ++mFlows;
  ++mExpected;
}

// The flow is older than the agent, and so is the upstream: the agent alone has restarted.
void AdmissionControl::flowAdopted(base::Time)
{
  if (!mIsJoining) {
    mLimit.endColdStart();
  }
  ++mFlows;
}

void AdmissionControl::flowClosed(base::Time)
{
  --mFlows;
}

void AdmissionControl::expectationEnded(base::Time aNow)
{
  advance(aNow);
  --mExpected;
}

void AdmissionControl::firstRequestArrived(base::Duration aDelay)
{
  mExpectation += (static_cast<double>(aDelay.count()) - mExpectation) * kExpectationWeight;
}

// Little's law: a full upstream answers limit / answer time requests a second, so that this rate
// times the expectation are under way. Without them a slot stays empty for a round trip after each
// answer. What comes too early waits at the agent. A cold upstream gets no flow in advance.
std::uint32_t AdmissionControl::flowLimit() const
{
  const auto usual = static_cast<double>(mLimit.usualLatency().count());
  if (isCold() || usual <= 0) {
    return limit();
  }
  const double underWay = std::min(mExpectation / usual, 1.0) * limit();
  return limit() + static_cast<std::uint32_t>(std::ceil(underWay));
}

void AdmissionControl::requestStarted(base::Time aNow, bool aIsExpected)
{
  advance(aNow);
  ++mBusy;
  mExpected -= aIsExpected ? 1 : 0;
}

void AdmissionControl::requestAnswered(base::Time aNow, base::Duration aLatency)
{
  advance(aNow);
  mLimit.onAnswer(aNow, aLatency, load());
  --mBusy;
}

void AdmissionControl::requestAbandoned(base::Time aNow)
{
  advance(aNow);
  --mBusy;
}

void AdmissionControl::upstreamReset(base::Time aNow)
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

void AdmissionControl::learn(base::Time aNow, const wire::LoadReport& aReport)
{
  mService.learn(aNow, aReport);
}

wire::LoadReport AdmissionControl::report(base::Time aNow, std::uint64_t aUpstream)
{
  advance(aNow);
  return { aUpstream,
           mBusy,
           limit(),
           mFlows,
           static_cast<std::uint32_t>(std::lround(mMeanLoad * wire::kLoadUnit)) };
}

double AdmissionControl::meanLoad(base::Time aNow) const
{
  const double elapsed = std::chrono::duration<double>(aNow - mUpdated) / kMeanTime;
  return load() + (mMeanLoad - load()) * std::exp(-elapsed);
}

void AdmissionControl::advance(base::Time aNow)
{
  mMeanLoad = meanLoad(aNow);
  mUpdated = aNow;
}

} // namespace cornelcross::admission
