#pragma once

#include "membership/backoff.hpp"
#include "membership/retry_budget.hpp"
#include "membership/settings.hpp"

#include <map>
#include <optional>

namespace cornelcross::membership {

/// @brief Decides from which peer, and when, a process that is behind pulls. One pull at a time.
///
/// The first pull waits for a random part of Settings::mPullJitter: one frame from a process that
/// is ahead may reach thousands that are behind at the same moment.
class PullSchedule
{
public:
  explicit PullSchedule(const Settings& aSettings);

  /// @brief A peer was heard at aRevision, which is above the own one.
  void hint(base::Time aNow, flow::Endpoint aPeer, std::uint64_t aRevision, Random& aRandom);

  /// @brief Peer to pull from now, if it is time; a pull then counts as in progress.
  std::optional<flow::Endpoint> start(base::Time aNow, std::uint64_t aRevision, Random& aRandom);

  /// @brief Marks a pull that was decided elsewhere as in progress.
  void begin(flow::Endpoint aPeer) { mInProgress = aPeer; }

  /// @brief The pull in progress ended.
  void finished(base::Time aNow, bool aIsSuccess, std::uint64_t aRevision, Random& aRandom);

  /// @brief True while a pull is in progress.
  bool isInProgress() const { return mInProgress.has_value(); }

  /// @brief True if a peer is known to be ahead of aRevision.
  bool isBehind(std::uint64_t aRevision) const;

private:
  void forgetUpTo(std::uint64_t aRevision);

  Settings mSettings;
  Backoff mBackoff;
  RetryBudget mRetries;
  std::map<flow::Endpoint, std::uint64_t> mAhead;
  std::optional<flow::Endpoint> mInProgress;
  std::optional<base::Time> mNextAt;
  base::Time mNotBefore;
};

} // namespace cornelcross::membership
