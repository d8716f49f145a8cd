#include "agent/upstream_watch.hpp"

#include <utility>

namespace cornelcross::agent {

namespace {

/// Well below the time until an endpoint is used again.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(100);

/// Bounds the connections to an upstream that accepts and closes them.
constexpr int kAttemptsPerReuseDelay = 4;

} // namespace

// A record is written by a running upstream, so a start that is listed for the first time counts as
// running. A start that has ended may be listed again by a configuration that is older.
void UpstreamWatch::list(base::Time aNow, std::optional<ListedStart> aStart)
{
  if (aStart == mStart) {
    return;
  }
  mFormerEndedStart = hasEnded(aNow) ? mStart : mFormerEndedStart;
  mStart = aStart;
  mIsAttemptOutdated = mIsAttempting;
  reset(aNow);
  mHasEnded = aStart && aStart == mFormerEndedStart;
}

void UpstreamWatch::reset(base::Time aNow)
{
  mHasEnded = false;
  mHasRun = false;
  mIsRefused = false;
  mExpiredSince.reset();
  mLastRunningAt = aNow;
}

// Without an open connection, nothing shows that the process is still the same. A refused start
// that was not seen running may have ended long before it was listed here.
bool UpstreamWatch::hasEnded(base::Time aNow) const
{
  const bool isUnseen = isEnabled() && mStart && !mIsOpen;
  const bool hasRefused = mIsRefused && !mHasRun;
  return mHasEnded || (isUnseen && (hasRefused || aNow - mLastRunningAt >= mSettings.mReuseDelay));
}

void UpstreamWatch::confirmRunning(base::Time aNow)
{
  mHasRun = true;
  mIsRefused = false;
  mLastRunningAt = aNow;
}

void UpstreamWatch::onConnectionChecked(base::Time aNow, bool aIsOpen)
{
  mHasEnded = hasEnded(aNow);
  mIsOpen = aIsOpen;
  mHasEnded = hasEnded(aNow);
  if (mIsOpen && !mHasEnded) {
    confirmRunning(aNow);
  }
}

// An attempt that fails proves nothing: its deadline may pass while this process does not run.
void UpstreamWatch::onAttempt(base::Time aNow, flow::ConnectionOutcome aOutcome)
{
  mIsAttempting = false;
  const bool isAccepted = aOutcome == flow::ConnectionOutcome::kAccepted;
  mNextAttemptAt = aNow + (isAccepted ? mSettings.mReuseDelay / kAttemptsPerReuseDelay
                                      : base::Duration(kRetryInterval));
  if (std::exchange(mIsAttemptOutdated, false)) {
    return;
  }
  mIsRefused = mIsRefused || aOutcome == flow::ConnectionOutcome::kRefused;
  mHasEnded = hasEnded(aNow);
  mIsOpen = isAccepted;
  if (mIsOpen && !mHasEnded) {
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
  if (!isEnabled() || !mStart || mIsOpen || mIsAttempting || aNow < mNextAttemptAt) {
    return false;
  }
  mIsAttempting = true;
  return true;
}

} // namespace cornelcross::agent
