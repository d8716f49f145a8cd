#pragma once

#include "membership/backoff.hpp"
#include "membership/settings.hpp"

#include <optional>

namespace cornelcross::membership {

/// @brief Decides when a process reads the configuration service.
///
/// Readers hold a watch all the time. The others read once only if neither they nor, as heartbeats
/// tell, anybody they heard of has had an answer for Settings::mServiceStaleAfter plus a random
/// part of Settings::mServiceStaleJitter: this replaces readers that died, without naming them. The
/// random part is long, as the first of thousands to read spreads the news to the others.
class ServiceSchedule
{
public:
  explicit ServiceSchedule(const Settings& aSettings);

  /// @brief Asks for one read without delay, as at the start and after a pause.
  void readSoon(base::Time aNow);

  /// @brief Seconds that the service may hold a read which is to start now; empty if none is.
  /// The read then counts as in progress.
  std::optional<unsigned> start(base::Time aNow, bool aIsReader, Random& aRandom);

  /// @brief A read ended. An answer that is behind what is in force counts as no news.
  void finished(base::Time aNow, bool aIsFresh, Random& aRandom);

  /// @brief A peer heard of an answer that is aAge old.
  void heard(base::Time aNow, base::Duration aAge);

  /// @brief Age of the newest answer that this process heard of.
  std::optional<base::Duration> age(base::Time aNow) const;

  /// @brief True while a read is in progress.
  bool isInProgress() const { return mIsInProgress; }

private:
  Settings mSettings;
  Backoff mBackoff;
  bool mIsInProgress = false;
  std::optional<base::Time> mFreshAt;
  base::Time mNextAt;
  base::Duration mStaleAfter;
  bool mIsWanted = true;
};

} // namespace cornelcross::membership
