#include "membership/pull_schedule.hpp"

#include <algorithm>
#include <iterator>

namespace cornelcross::membership {

namespace {

constexpr std::size_t kMaxNewerPeers = 16;
constexpr double kRetriesPerSecond = 2;
constexpr double kRetryBurst = 5;

} // namespace

PullSchedule::PullSchedule(const Settings& aSettings)
  : mSettings(aSettings)
  , mBackoff(aSettings.mPullMinBackoff, aSettings.mPullMaxBackoff)
  , mRetryBudget(kRetriesPerSecond, kRetryBurst)
{
}

void PullSchedule::recordNewerPeer(base::Time aNow,
                                   flow::Endpoint aPeer,
                                   std::uint64_t aRevision,
                                   Random& aRandom)
{
  const auto found = mNewerPeers.find(aPeer);
  if (found != mNewerPeers.end()) {
    found->second = aRevision;
  } else if (mNewerPeers.size() < kMaxNewerPeers) {
    mNewerPeers.emplace(aPeer, aRevision);
  }
  if (!mNextStart && !mInProgress) {
    mNextStart = std::max(mEarliestStart, aNow + aRandom.between({}, mSettings.mPullJitter));
  }
}

std::optional<flow::Endpoint> PullSchedule::start(base::Time aNow,
                                                  std::uint64_t aRevision,
                                                  Random& aRandom)
{
  erasePeersUpTo(aRevision);
  if (mInProgress || !mNextStart || aNow < *mNextStart) {
    return std::nullopt;
  }
  mNextStart.reset();
  if (mNewerPeers.empty()) {
    return std::nullopt;
  }
  const auto chosen =
    std::next(mNewerPeers.begin(), static_cast<std::ptrdiff_t>(aRandom.below(mNewerPeers.size())));
  mInProgress = chosen->first;
  return mInProgress;
}

void PullSchedule::onPullFinished(base::Time aNow,
                                  bool aIsSuccess,
                                  std::uint64_t aRevision,
                                  Random& aRandom)
{
  if (aIsSuccess) {
    mBackoff.reset();
    mEarliestStart = aNow;
    erasePeersUpTo(aRevision);
  } else {
    // Removing the peer makes the next pull go to another one. A later frame of the peer records it
    // again.
    if (mInProgress) {
      mNewerPeers.erase(*mInProgress);
    }
    mEarliestStart =
      aNow + (mRetryBudget.tryConsume(aNow) ? mBackoff.next(aRandom) : mSettings.mPullMaxBackoff);
  }
  mInProgress.reset();
  mNextStart = mNewerPeers.empty() ? std::nullopt : std::optional<base::Time>(mEarliestStart);
}

bool PullSchedule::isBehind(std::uint64_t aRevision) const
{
  for (const auto& [peer, revision] : mNewerPeers) {
    if (revision > aRevision) {
      return true;
    }
  }
  return false;
}

void PullSchedule::erasePeersUpTo(std::uint64_t aRevision)
{
  std::erase_if(mNewerPeers, [&](const auto& aEntry) { return aEntry.second <= aRevision; });
}

} // namespace cornelcross::membership
