#include "membership/service_schedule.hpp"

namespace cornelcross::membership {

namespace {

// A watch that goes silent is noticed within this and the time for the answer, 5 s in all.
constexpr unsigned kWatchSeconds = 3;

} // namespace

ServiceSchedule::ServiceSchedule(const Settings& aSettings)
  : mSettings(aSettings)
  , mBackoff(aSettings.mServiceMinBackoff, aSettings.mServiceMaxBackoff)
  , mStaleAfter(aSettings.mServiceStaleAfter)
{
}

void ServiceSchedule::readSoon(base::Time aNow)
{
  mIsWanted = true;
  mIsInProgress = false;
  mNextAt = aNow;
}

std::optional<unsigned> ServiceSchedule::start(base::Time aNow, bool aIsReader, Random& aRandom)
{
  if (mIsInProgress || aNow < mNextAt) {
    return std::nullopt;
  }
  if (mIsWanted) {
    mIsWanted = false;
    mIsInProgress = true;
    return 0;
  }
  const auto known = age(aNow);
  if (!aIsReader && known && *known < mStaleAfter) {
    return std::nullopt;
  }
  mStaleAfter = mSettings.mServiceStaleAfter + aRandom.between({}, mSettings.mServiceStaleJitter);
  mIsInProgress = true;
  return aIsReader ? kWatchSeconds : 0;
}

void ServiceSchedule::finished(base::Time aNow, bool aIsFresh, Random& aRandom)
{
  mIsInProgress = false;
  if (aIsFresh) {
    mBackoff.reset();
    mFreshAt = aNow;
    mNextAt = aNow;
    return;
  }
  mNextAt = aNow + mBackoff.next(aRandom);
}

void ServiceSchedule::heard(base::Time aNow, base::Duration aAge)
{
  const base::Time at = aNow - aAge;
  if (!mFreshAt || at > *mFreshAt) {
    mFreshAt = at;
  }
}

std::optional<base::Duration> ServiceSchedule::age(base::Time aNow) const
{
  return mFreshAt ? std::optional<base::Duration>(aNow - *mFreshAt) : std::nullopt;
}

} // namespace cornelcross::membership
