#include "agent/upstream_watch.hpp"

namespace cornelcross::agent {

namespace {

/// Well below the time until an endpoint is used again.
constexpr base::Duration kAttemptInterval = std::chrono::milliseconds(100);

} // namespace

// A record is written by a running upstream, so a start that is listed anew runs.
void UpstreamWatch::list(base::Time aNow, std::optional<ListedStart> aStart)
{
  if (aStart != mStart) {
    mStart = aStart;
    reset(aNow);
  }
}

void UpstreamWatch::reset(base::Time aNow)
{
  mHasEnded = false;
  mHasRun = false;
  mIsRefused = false;
  mExpiredSince.reset();
  mLastRunningAt = aNow;
}

bool UpstreamWatch::hasEnded(base::Time aNow) const
{
  const bool isDown = mStart && mIsRefused && !mIsOpen;
  // A start that was not seen running may have ended long before it was listed here.
  return mHasEnded || (isDown && (!mHasRun || aNow - mLastRunningAt >= mSettings.mReuseDelay));
}

void UpstreamWatch::confirmRunning(base::Time aNow)
{
  mHasRun = mHasRun || mIsOpen;
  mIsRefused = false;
  mLastRunningAt = aNow;
}

// After a pause of this process, the connection may be closed without any call since, so only an
// open connection proves that the upstream ran until now.
void UpstreamWatch::onConnectionChecked(base::Time aNow, bool aIsOpen)
{
  mHasEnded = hasEnded(aNow);
  mIsOpen = aIsOpen;
  if (mIsOpen && !mHasEnded) {
    confirmRunning(aNow);
  }
}

// A VM refuses connections to an endpoint without a process. An attempt whose deadline passes
// therefore found a process that is busy.
void UpstreamWatch::onAttempt(base::Time aNow, flow::ConnectionOutcome aOutcome)
{
  mIsAttempting = false;
  const bool mayBeAnother = mStart && aNow - mLastRunningAt >= mSettings.mReuseDelay;
  mIsRefused = mIsRefused || aOutcome == flow::ConnectionOutcome::kRefused;
  mHasEnded = hasEnded(aNow) || mayBeAnother;
  mIsOpen = aOutcome == flow::ConnectionOutcome::kAccepted;
  if (!mHasEnded && (mIsOpen || !mIsRefused)) {
    confirmRunning(aNow);
  }
}

// An upstream that was only unreachable renews its record, so its listing outlives that of an
// upstream that has ended.
void UpstreamWatch::onServiceResponse(base::Time aNow, base::Time aRespondedAt)
{
  const bool isAvailable = aNow - aRespondedAt <= mSettings.mMaxResponseAge;
  const bool hasExpired = aRespondedAt >= mLastRunningAt + mSettings.mListingLifetime;
  if (!mHasEnded || !isAvailable || !hasExpired) {
    mExpiredSince.reset();
    return;
  }
  mExpiredSince = mExpiredSince.value_or(aNow);
  if (aNow - *mExpiredSince >= mSettings.mPropagation + mSettings.mMaxResponseAge) {
    reset(aNow);
  }
}

bool UpstreamWatch::startAttempt(base::Time aNow)
{
  const bool isWatched = mSettings.mReuseDelay > base::Duration::zero() && mStart;
  if (!isWatched || mIsOpen || mIsAttempting || aNow - mLastAttemptAt < kAttemptInterval) {
    return false;
  }
  mLastAttemptAt = aNow;
  mIsAttempting = true;
  return true;
}

} // namespace cornelcross::agent
