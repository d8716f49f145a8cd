#include "admission/concurrency_limit.hpp"

#include "base/mechanisms.hpp"

#include <algorithm>
#include <cmath>

namespace cornelcross::admission {

namespace {

/// Answers slower than the usual ones by this factor stop the growth. A mix of short and long
/// requests moves the mean of a window by less.
constexpr double kSlow = 1.5;

/// Answers slower by this factor let the limit fall.
constexpr double kTooSlow = 2.0;

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
  mValue = std::min(mValue, mSlots);
}

void ConcurrencyLimit::restart(base::Time aNow)
{
  mIsCold = true;
  mHasStart = true;
  mValue = base::mechanisms().mLimitColdStart ? std::min(mSettings.mColdLimit, mSlots) : mSlots;
  mColdUntil = aNow + mSettings.mColdStart;
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

// A gradient limit: the ratio of the usual to the present answer time, after Netflix'
// concurrency-limits and TCP Vegas. During a cold start nothing grows: whether an upstream bears
// one request more can't be seen without giving it one more than it may bear.
void ConcurrencyLimit::closeWindow(base::Time aNow)
{
  const double mean = mSum / mSamples;
  const bool isFirst = mUsual == 0;
  const double ratio = isFirst ? 1 : mean / mUsual;
  mUsual = isFirst ? mean : mUsual + (mean - mUsual) * (ratio < 1 ? kFasterWeight : kSlowerWeight);
  mIsCold = mIsCold && (mIsJoining || aNow < mColdUntil);
  if (ratio > kTooSlow) {
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
