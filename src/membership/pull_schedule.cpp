#include "membership/pull_schedule.hpp"

#include <algorithm>
#include <iterator>

namespace cornelcross::membership {

namespace {

constexpr std::size_t kMaxAhead = 16; // peers
constexpr double kRetriesPerSecond = 2;
constexpr double kRetryBurst = 5;

} // namespace

PullSchedule::PullSchedule(const Settings& aSettings)
  : mSettings(aSettings)
  , mBackoff(aSettings.mPullMinBackoff, aSettings.mPullMaxBackoff)
  , mRetries(kRetriesPerSecond, kRetryBurst)
{
}

void PullSchedule::hint(base::Time aNow,
                        flow::Endpoint aPeer,
                        std::uint64_t aRevision,
                        Random& aRandom)
{
  const auto found = mAhead.find(aPeer);
  if (found != mAhead.end()) {
    found->second = aRevision;
  } else if (mAhead.size() < kMaxAhead) {
    mAhead.emplace(aPeer, aRevision);
  }
  if (!mNextAt && !mInProgress) {
    mNextAt = std::max(mNotBefore, aNow + aRandom.between({}, mSettings.mPullJitter));
  }
}

std::optional<flow::Endpoint> PullSchedule::start(base::Time aNow,
                                                  std::uint64_t aRevision,
                                                  Random& aRandom)
{
  forgetUpTo(aRevision);
  if (mInProgress || !mNextAt || aNow < *mNextAt) {
    return std::nullopt;
  }
  mNextAt.reset();
  if (mAhead.empty()) {
    return std::nullopt;
  }
  const auto chosen =
    std::next(mAhead.begin(), static_cast<std::ptrdiff_t>(aRandom.below(mAhead.size())));
  mInProgress = chosen->first;
  return mInProgress;
}

void PullSchedule::finished(base::Time aNow,
                            bool aIsSuccess,
                            std::uint64_t aRevision,
                            Random& aRandom)
{
  if (aIsSuccess) {
    mBackoff.reset();
    mNotBefore = aNow;
    forgetUpTo(aRevision);
  } else {
    // Another peer is asked next; this one counts again once it is heard again.
    if (mInProgress) {
      mAhead.erase(*mInProgress);
    }
    mNotBefore = aNow + (mRetries.take(aNow) ? mBackoff.next(aRandom) : mSettings.mPullMaxBackoff);
  }
  mInProgress.reset();
  mNextAt = mAhead.empty() ? std::nullopt : std::optional<base::Time>(mNotBefore);
}

bool PullSchedule::isBehind(std::uint64_t aRevision) const
{
  for (const auto& [peer, revision] : mAhead) {
    if (revision > aRevision) {
      return true;
    }
  }
  return false;
}

void PullSchedule::forgetUpTo(std::uint64_t aRevision)
{
  std::erase_if(mAhead, [&](const auto& aEntry) { return aEntry.second <= aRevision; });
}

} // namespace cornelcross::membership
