#include "admission/concurrency_limit.hpp"

#include "base/safety_mechanisms.hpp"

#include <algorithm>
#include <cmath>

namespace cornelcross::admission {

namespace {

/// Answers slower than the usual ones by this factor stop the growth. A mix of short and long
/// requests moves the mean of a window by less.
constexpr double kSlow = 1.25;

/// Answers slower by this factor let the limit fall.
constexpr double kTooSlow = 1.5;

/// Part of a window's mean in the recent answer time.
constexpr double kRecentWeight = 0.3;

/// The limit never falls below this share of itself in one window.
constexpr double kSteepestFall = 0.5;

/// Part of a window's mean in the usual answer time when it is faster, and when it is slower. The
/// asymmetry keeps queueing out of the baseline, as TCP Vegas does with its smallest round trip
/// (Brakmo and Peterson, 1995), yet lets a lasting change become the usual.
constexpr double kFasterWeight = 0.2;
constexpr double kSlowerWeight = 0.01;

} // namespace

void ConcurrencyLimit::configure(std::uint32_t aSlots, bool aIsJoining)
{
  mIsJoining = aIsJoining;
  mSlots = std::max(aSlots, std::uint32_t{ 1 });
  mValue = mSettings.mIsAdaptive || mIsCold ? std::min(mValue, mSlots) : mSlots;
}

void ConcurrencyLimit::restart(base::Time aNow)
{
  restart(aNow, mSettings.mColdStartDuration);
}

void ConcurrencyLimit::advance(base::Time aNow)
{
  if (!mSettings.mIsAdaptive && mIsCold && !mIsJoining && aNow >= mColdUntil) {
    mIsCold = false;
    mValue = mSlots;
  }
}

void ConcurrencyLimit::restart(base::Time aNow, base::Duration aColdStart)
{
  mIsCold = true;
  mHasStart = true;
  mValue =
    base::safetyMechanisms().mLimitColdStart ? std::min(mSettings.mColdLimit, mSlots) : mSlots;
  mColdUntil = aNow + aColdStart;
  mWindowEnd = aNow + mSettings.mWindow;
  mSamples = 0;
  mSum = 0;
  mPeak = 0;
}

void ConcurrencyLimit::onAnswer(base::Time aNow, base::Duration aLatency, std::uint32_t aLoad)
{
  if (!mHasStart) {
    restart(aNow);
  }
  mSum += static_cast<double>(aLatency.count());
  mPeak = std::max(mPeak, aLoad);
  ++mSamples;
  if (aNow >= mWindowEnd && mSamples >= mSettings.mMinSamples) {
    closeWindow(aNow);
  }
}

// The reference is what the service's other upstreams take now. Were it only the upstream's own
// past, a slow dependency that all share would make every agent cut its limit, and a lasting cold
// start would become the usual. Without reports the past must do.
// A gradient limit: the ratio of the usual to the present answer time, after Netflix'
// concurrency-limits and TCP Vegas. During a cold start nothing grows: whether an upstream bears
// one request more can't be seen without giving it one more than it may bear.
void ConcurrencyLimit::closeWindow(base::Time aNow)
{
  const double mean = mSum / mSamples;
  const bool isFirst = mUsual == 0;
  const auto reference = static_cast<double>(mReference.count());
  const double ratio = reference > 0 ? mean / reference : isFirst ? 1 : mean / mUsual;
  mRecent += (mean - mRecent) * (mRecent == 0 ? 1 : kRecentWeight);
  mUsual =
    isFirst ? mean : mUsual + (mean - mUsual) * (mean < mUsual ? kFasterWeight : kSlowerWeight);
  mIsCold = mIsCold && (mIsJoining || aNow < mColdUntil);
  if (!mSettings.mIsAdaptive) {
    mValue = mIsCold ? mValue : mSlots;
  } else if (ratio > kTooSlow) {
    fall(ratio);
  } else if (!mIsCold && ratio < kSlow && mPeak >= mValue) {
    grow();
  }
  mWindowEnd = aNow + mSettings.mWindow;
  mSamples = 0;
  mSum = 0;
  mPeak = 0;
}

void ConcurrencyLimit::grow()
{
  mValue = std::min(mValue + 1, mSlots);
}

void ConcurrencyLimit::fall(double aRatio)
{
  const double share = std::max(kSteepestFall, kTooSlow / aRatio);
  const auto lower = static_cast<std::uint32_t>(std::floor(mValue * share));
  mValue = std::max(lower, std::min(mSettings.mColdLimit, mSlots));
}

} // namespace cornelcross::admission
