#include "agent/upstream_watch.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::agent {

namespace {

/// Well below the time until an endpoint is used again.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(100);

/// Bounds the connections to an upstream that sends no packets, or accepts and closes connections.
constexpr int kAttemptsPerReuseDelay = 4;

/// Time without a check that means that this process did not run.
constexpr base::Duration kMinPause = std::chrono::seconds(1);

} // namespace

UpstreamWatch::UpstreamWatch(UpstreamWatchSettings aSettings)
  : mSettings(aSettings)
  , mAcceptedInterval(aSettings.mReuseDelay / kAttemptsPerReuseDelay)
  , mRenewal(mAcceptedInterval)
{
}

// A record is written by a running upstream, so a start that is listed for the first time has not
// ended, unless it may have been listed for long. A start that has ended may be listed again by a
// configuration that is older.
void UpstreamWatch::list(base::Time aNow, std::optional<ListedStart> aStart)
{
  if (aStart == mStart) {
    return;
  }
  mFormerEndedStart = hasEnded(aNow) ? mStart : mFormerEndedStart;
  mStart = aStart;
  mIsAttemptOutdated = mIsAttempting;
  mRenewal.observe(mStart ? mStart->mStartedAtMs : 0);
  reset(aNow);
  mIsInitial = !mIsConfirmed;
  mIsRefused = mIsInitial && mHasSeenRefusal;
  mNextAttemptAt = aNow;
  mHasEnded = aStart && aStart == mFormerEndedStart;
}

void UpstreamWatch::onRefusal()
{
  mHasSeenRefusal = true;
  mIsRefused = mIsRefused || mIsInitial;
}

void UpstreamWatch::reset(base::Time aObservedSince)
{
  mHasEnded = false;
  mProof.reset();
  mIsRefused = false;
  mExpiredSince.reset();
  mObservedSince = aObservedSince;
}

// What runs at the endpoint before the reuse delay is over is the listed start.
bool UpstreamWatch::isProven(base::Time aNow) const
{
  return mProof && aNow - mProof->mAt < mSettings.mReuseDelay;
}

// While this process did not run, the listed start could prove nothing.
base::Time UpstreamWatch::waitingSince() const
{
  return mProof ? std::max(mProof->mAt, mObservedSince) : mObservedSince;
}

// A start that refused after the last proof may have ended long before it was listed here, or
// before a pause of this process.
bool UpstreamWatch::hasEnded(base::Time aNow) const
{
  const bool isWatched = isEnabled() && mStart;
  const bool hasRefused = mIsRefused && !isProven(aNow);
  return mHasEnded || (isWatched && (hasRefused || aNow - waitingSince() >= mSettings.mReuseDelay));
}

bool UpstreamWatch::mayReceiveFlows(base::Time aNow) const
{
  const bool isUnproven = isEnabled() && mStart && !isProven(aNow);
  return !isUnproven && !hasEnded(aNow);
}

void UpstreamWatch::confirmRunning(UpstreamProof aProof)
{
  mIsRefused = false;
  if (!mProof || mProof->mAt < aProof.mAt) {
    mProof = aProof;
  }
}

// A connection that is still open after a pause of this process proves nothing, but nor does the
// pause show that its peer has ended. A packet that was handled since the last check may have
// waited in the socket for as long as others did then.
void UpstreamWatch::onConnectionChecked(base::Time aNow,
                                        bool aIsOpen,
                                        base::Time aPacketsHandledUntil)
{
  const bool hasPaused = aNow - std::exchange(mLastCheckAt, aNow) >= kMinPause;
  if (hasPaused && mIsOpen && aIsOpen) {
    mObservedSince = aNow;
  }
  mHasEnded = hasEnded(aNow);
  mIsOpen = aIsOpen;
  if (std::exchange(mHasSentPacket, false) && isProven(aNow) && !mHasEnded) {
    confirmRunning({ UpstreamProofKind::kPacket, mPacketsHandledUntil });
  }
  mPacketsHandledUntil = aPacketsHandledUntil;
}

// An attempt that fails proves nothing: its deadline may pass while this process does not run. One
// that is accepted may have been accepted right after its start. A refusal leaves an older
// connection open if its peer has ended without closing it.
void UpstreamWatch::onAttempt(base::Time aNow, flow::ConnectionOutcome aOutcome)
{
  const base::Time startedAt = std::exchange(mIsAttempting, false) ? mAttemptStartedAt : aNow;
  const bool isAccepted = aOutcome == flow::ConnectionOutcome::kAccepted;
  const bool isRefused = aOutcome == flow::ConnectionOutcome::kRefused;
  mIsAnswered = isAccepted;
  mHasSeenRefusal = mHasSeenRefusal || isRefused;
  mNextAttemptAt = isAccepted ? startedAt + mAcceptedInterval : aNow + kRetryInterval;
  if (std::exchange(mIsAttemptOutdated, false)) {
    mNextAttemptAt = aNow;
    return;
  }
  mIsRefused = mIsRefused || isRefused;
  mHasEnded = hasEnded(aNow);
  mIsOpen = mIsOpen || isAccepted;
  if (isAccepted && !mHasEnded) {
    confirmRunning({ UpstreamProofKind::kAcceptedConnection, startedAt });
  }
}

// An upstream that was only unreachable renews its record, so its listing outlives that of an
// upstream that has ended.
void UpstreamWatch::onServiceResponse(base::Time aNow, base::Time aRespondedAt)
{
  const bool isAvailable = aNow - aRespondedAt <= mSettings.mMaxResponseAge;
  const bool hasExpired = aRespondedAt >= waitingSince() + mSettings.mListingLifetime;
  if (!mHasEnded || !isAvailable || !hasExpired) {
    mExpiredSince.reset();
    return;
  }
  mExpiredSince = mExpiredSince.value_or(aNow);
  if (aNow - *mExpiredSince >= mSettings.mPropagation + mSettings.mMaxResponseAge) {
    revive(aNow);
  }
}

void UpstreamWatch::revive(base::Time aObservedSince)
{
  reset(aObservedSince);
  mFormerEndedStart = mFormerEndedStart == mStart ? std::nullopt : mFormerEndedStart;
  mNextAttemptAt = aObservedSince;
}

// While no process answers at the endpoint, the listed start cannot serve.
bool UpstreamWatch::startRecordRead(base::Time aNow)
{
  const bool isUseful = mStart && hasEnded(aNow) && mIsAnswered;
  return isUseful && mRenewal.startRead(aNow);
}

// Nobody else has the endpoint of a start for the reuse delay after it ran.
void UpstreamWatch::onRecord(base::Time aNow, const std::optional<config::UpstreamRecord>& aRecord)
{
  const std::optional<base::Time> ranAt = mRenewal.onRead(aNow, aRecord);
  mHasEnded = hasEnded(aNow);
  if (mHasEnded && ranAt && aNow - *ranAt < mSettings.mReuseDelay) {
    revive(*ranAt);
    confirmRunning({ UpstreamProofKind::kRecord, *ranAt });
  }
}

bool UpstreamWatch::startAttempt(base::Time aNow)
{
  const bool isCurrent = mIsOpen && mProof && !mHasEnded && aNow - mProof->mAt < mAcceptedInterval;
  if (!isEnabled() || !mStart || isCurrent || mIsAttempting || aNow < mNextAttemptAt) {
    return false;
  }
  mIsAttempting = true;
  mAttemptStartedAt = aNow;
  return true;
}

} // namespace cornelcross::agent
