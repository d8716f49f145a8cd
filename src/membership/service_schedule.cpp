#include "membership/service_schedule.hpp"

#include <utility>

namespace cornelcross::membership {

namespace {

// A read that gets no response fails after this time plus the response timeout, 5 s in all.
constexpr unsigned kMaxWatchSeconds = 3;

} // namespace

ServiceSchedule::ServiceSchedule(const Settings& aSettings)
  : mSettings(aSettings)
  , mBackoff(aSettings.mServiceMinBackoff, aSettings.mServiceMaxBackoff)
  , mStaleAfter(aSettings.mServiceStaleAfter)
{
}

void ServiceSchedule::requestRead(base::Time aNow)
{
  mIsReadRequested = true;
  mIsInProgress = false;
  mEarliestRead = aNow;
}

void ServiceSchedule::requestCheck(base::Time aNow)
{
  mIsCheckRequested = true;
  mIsInProgress = mIsInProgress && !mIsWaiting;
  mEarliestRead = aNow;
}

ServiceRead ServiceSchedule::startRead(ServiceRead aRead)
{
  mIsInProgress = true;
  mIsWaiting = aRead.mWaitSeconds > 0;
  return aRead;
}

std::optional<ServiceRead> ServiceSchedule::start(base::Time aNow, bool aIsReader, Random& aRandom)
{
  if (mIsInProgress || aNow < mEarliestRead) {
    return std::nullopt;
  }
  const bool isCheckRequested = std::exchange(mIsCheckRequested, false);
  if (std::exchange(mIsReadRequested, false)) {
    return startRead({ 0, false });
  }
  if (isCheckRequested) {
    return startRead({ 0, true });
  }
  const auto age = responseAge(aNow);
  if (!aIsReader && age && *age < mStaleAfter) {
    return std::nullopt;
  }
  mStaleAfter = mSettings.mServiceStaleAfter + aRandom.between({}, mSettings.mServiceStaleJitter);
  return startRead({ aIsReader ? kMaxWatchSeconds : 0, !aIsReader });
}

void ServiceSchedule::onReadFinished(base::Time aNow, bool aIsCurrent, Random& aRandom)
{
  mIsInProgress = false;
  if (aIsCurrent) {
    mBackoff.reset();
    mNewestResponse = aNow;
    mEarliestRead = aNow;
    return;
  }
  mEarliestRead = aNow + mBackoff.next(aRandom);
}

void ServiceSchedule::recordResponseAge(base::Time aNow, base::Duration aAge)
{
  const base::Time responseTime = aNow - aAge;
  if (!mNewestResponse || responseTime > *mNewestResponse) {
    mNewestResponse = responseTime;
  }
}

std::optional<base::Duration> ServiceSchedule::responseAge(base::Time aNow) const
{
  return mNewestResponse ? std::optional<base::Duration>(aNow - *mNewestResponse) : std::nullopt;
}

} // namespace cornelcross::membership
