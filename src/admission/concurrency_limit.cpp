#include "admission/concurrency_limit.hpp"

#include "base/safety_mechanisms.hpp"

#include <algorithm>
#include <cmath>

namespace cornelcross::admission {

namespace {

/// The limit grows only while the latency is below this multiple of the reference. A mix of short
/// and long requests changes the mean of a window by less.
constexpr double kGrowthLatencyRatio = 1.25;

/// The limit is reduced when the latency exceeds this multiple of the reference.
constexpr double kReductionLatencyRatio = 1.5;

/// Weight of a window's mean in the recent latency.
constexpr double kRecentWeight = 0.3;

/// Lower bound on the factor by which one window reduces the limit.
constexpr double kMinLimitFactor = 0.5;

/// Weight of a window's mean in the baseline latency if the mean is below or above the baseline.
/// The asymmetry excludes queueing delay from the baseline, as TCP Vegas does with its minimum
/// round-trip time (Brakmo and Peterson, 1995), but lets the baseline follow a lasting change.
constexpr double kFasterWeight = 0.2;
constexpr double kSlowerWeight = 0.01;

} // namespace

void ConcurrencyLimit::configure(std::uint32_t aSlots, bool aIsJoining)
{
  mIsJoining = aIsJoining;
  mSlots = std::max(aSlots, std::uint32_t{ 1 });
  mValue = mSettings.mIsAdaptive || mIsCold ? std::min(mValue, mSlots) : mSlots;
}

void ConcurrencyLimit::beginColdStart(base::Time aNow)
{
  beginColdStart(aNow, mSettings.mColdStartDuration);
}

void ConcurrencyLimit::advance(base::Time aNow)
{
  if (!mSettings.mIsAdaptive && mIsCold && !mIsJoining && aNow >= mColdStartEnd) {
    mIsCold = false;
    mValue = mSlots;
  }
}

void ConcurrencyLimit::beginColdStart(base::Time aNow, base::Duration aColdStart)
{
  mIsCold = true;
  mHasStarted = true;
  mValue =
    base::safetyMechanisms().mLimitColdStart ? std::min(mSettings.mColdStartLimit, mSlots) : mSlots;
  mColdStartEnd = aNow + aColdStart;
  mWindowEnd = aNow + mSettings.mSampleWindow;
  mSampleCount = 0;
  mLatencySumNs = 0;
  mPeakLoad = 0;
}

void ConcurrencyLimit::onResponse(base::Time aNow, base::Duration aLatency, std::uint32_t aLoad)
{
  if (!mHasStarted) {
    beginColdStart(aNow);
  }
  mLatencySumNs += static_cast<double>(aLatency.count());
  mPeakLoad = std::max(mPeakLoad, aLoad);
  ++mSampleCount;
  if (aNow >= mWindowEnd && mSampleCount >= mSettings.mMinSamples) {
    closeWindow(aNow);
  }
}

// A gradient limit, as in Netflix's concurrency-limits and TCP Vegas: the ratio of the current
// latency to a reference latency controls the limit. The reference is the current latency of the
// service's other upstreams. With the upstream's own baseline alone, a slow dependency that all
// upstreams share would make every agent reduce its limit, and a lasting cold start would become
// the baseline. The baseline is the fallback without load reports. The limit does not grow during a
// cold start: testing whether the upstream sustains one more request would send one request more
// than it may sustain.
void ConcurrencyLimit::closeWindow(base::Time aNow)
{
  const double mean = mLatencySumNs / mSampleCount;
  const bool isFirstWindow = mBaselineNs == 0;
  const auto reference = static_cast<double>(mReferenceLatency.count());
  const double ratio = reference > 0 ? mean / reference : isFirstWindow ? 1 : mean / mBaselineNs;
  mRecentNs += (mean - mRecentNs) * (mRecentNs == 0 ? 1 : kRecentWeight);
  mBaselineNs =
    isFirstWindow
      ? mean
      : mBaselineNs + (mean - mBaselineNs) * (mean < mBaselineNs ? kFasterWeight : kSlowerWeight);
  mIsCold = mIsCold && (mIsJoining || aNow < mColdStartEnd);
  if (!mSettings.mIsAdaptive) {
    mValue = mIsCold ? mValue : mSlots;
  } else if (ratio > kReductionLatencyRatio) {
    decrease(ratio);
  } else if (!mIsCold && ratio < kGrowthLatencyRatio && mPeakLoad >= mValue) {
    increase();
  }
  mWindowEnd = aNow + mSettings.mSampleWindow;
  mSampleCount = 0;
  mLatencySumNs = 0;
  mPeakLoad = 0;
}

void ConcurrencyLimit::increase()
{
  mValue = std::min(mValue + 1, mSlots);
}

void ConcurrencyLimit::decrease(double aRatio)
{
  const double factor = std::max(kMinLimitFactor, kReductionLatencyRatio / aRatio);
  const auto reduced = static_cast<std::uint32_t>(std::floor(mValue * factor));
  mValue = std::max(reduced, std::min(mSettings.mColdStartLimit, mSlots));
}

} // namespace cornelcross::admission
