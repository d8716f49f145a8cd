#include "membership/pull_schedule.hpp"

#include <algorithm>
#include <iterator>

namespace cornelcross::membership {

namespace {

constexpr std::size_t kMaxNewerPeers = 16;
constexpr double kRetriesPerSecond = 2;
constexpr double kRetryBurst = 5;

/// Time for which a failed pull counts against its peer.
constexpr base::Duration kFailureMemory = std::chrono::seconds(10);

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
  } else if (!hasFailed(aNow, aPeer)) {
    const auto failed =
      std::find_if(mNewerPeers.begin(), mNewerPeers.end(), [&](const auto& aEntry) {
        return hasFailed(aNow, aEntry.first);
      });
    if (failed != mNewerPeers.end()) {
      mNewerPeers.erase(failed);
      mNewerPeers.emplace(aPeer, aRevision);
    }
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
  const std::vector<flow::Endpoint> peers = preferredPeers(aNow);
  mInProgress = peers[aRandom.below(peers.size())];
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
    if (mInProgress) {
      mFailedPulls.erase(*mInProgress);
    }
    erasePeersUpTo(aRevision);
  } else {
    std::erase_if(mFailedPulls, [&](const auto& aEntry) { return !hasFailed(aNow, aEntry.first); });
    if (mInProgress) {
      mNewerPeers.erase(*mInProgress);
      mFailedPulls[*mInProgress] = aNow;
    }
    // The failure says nothing about a peer that was not tried.
    const std::vector<flow::Endpoint> peers = preferredPeers(aNow);
    const bool isNextUntried = !peers.empty() && !hasFailed(aNow, peers.front());
    const base::Duration delay =
      isNextUntried ? aRandom.between({}, mSettings.mPullMinBackoff) : mBackoff.next(aRandom);
    mEarliestStart = aNow + (mRetryBudget.tryConsume(aNow) ? delay : mSettings.mPullMaxBackoff);
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

bool PullSchedule::hasFailed(base::Time aNow, flow::Endpoint aPeer) const
{
  const auto found = mFailedPulls.find(aPeer);
  return found != mFailedPulls.end() && aNow - found->second < kFailureMemory;
}

// Peers from which no pull has failed lately; if there are none, all.
std::vector<flow::Endpoint> PullSchedule::preferredPeers(base::Time aNow) const
{
  std::vector<flow::Endpoint> all;
  std::vector<flow::Endpoint> preferred;
  for (const auto& [peer, revision] : mNewerPeers) {
    all.push_back(peer);
    if (!hasFailed(aNow, peer)) {
      preferred.push_back(peer);
    }
  }
  return preferred.empty() ? all : preferred;
}

void PullSchedule::erasePeersUpTo(std::uint64_t aRevision)
{
  std::erase_if(mNewerPeers, [&](const auto& aEntry) { return aEntry.second <= aRevision; });
}

} // namespace cornelcross::membership
