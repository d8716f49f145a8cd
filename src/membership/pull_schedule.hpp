#pragma once

#include "membership/backoff.hpp"
#include "membership/retry_budget.hpp"
#include "membership/settings.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cornelcross::membership {

/// @brief Decides when a process with an older revision pulls, and from which peer. At most one
/// pull is in progress at a time.
///
/// The first pull starts after a random delay of up to Settings::mPullJitter, because one frame of
/// a peer with a newer revision may reach thousands of processes with an older one at the same
/// time.
///
/// A peer that can be heard may not be reachable, as while packets pass one way only. After a
/// failed pull, others are preferred for a while.
class PullSchedule
{
public:
  explicit PullSchedule(const Settings& aSettings);

  /// @brief Records a peer at aRevision, which is newer than that of this process.
  void recordNewerPeer(base::Time aNow,
                       flow::Endpoint aPeer,
                       std::uint64_t aRevision,
                       Random& aRandom);

  /// @brief Starts a pull if one is due.
  /// @param aRevision active revision of this process
  /// @return peer to pull from; empty if no pull is due
  std::optional<flow::Endpoint> start(base::Time aNow, std::uint64_t aRevision, Random& aRandom);

  /// @brief Marks as in progress a pull that the caller starts without start().
  void markInProgress(flow::Endpoint aPeer) { mInProgress = aPeer; }

  /// @brief Handles the end of the pull in progress.
  /// @param aRevision active revision of this process after the pull
  void onPullFinished(base::Time aNow, bool aIsSuccess, std::uint64_t aRevision, Random& aRandom);

  /// @brief True while a pull is in progress.
  bool isInProgress() const { return mInProgress.has_value(); }

  /// @brief True if a known peer has a newer revision than aRevision.
  bool isBehind(std::uint64_t aRevision) const;

private:
  void erasePeersUpTo(std::uint64_t aRevision);
  bool hasFailed(base::Time aNow, flow::Endpoint aPeer) const;
  std::vector<flow::Endpoint> preferredPeers(base::Time aNow) const;

  Settings mSettings;
  Backoff mBackoff;
  RetryBudget mRetryBudget;
  std::map<flow::Endpoint, std::uint64_t> mNewerPeers;
  std::map<flow::Endpoint, base::Time> mFailedPulls; ///< time of the last one from each peer
  std::optional<flow::Endpoint> mInProgress;
  std::optional<base::Time> mNextStart;
  base::Time mEarliestStart;
};

} // namespace cornelcross::membership
