#pragma once

#include "base/time.hpp"
#include "flow/connection_outcome.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace cornelcross::agent {

/// @brief Settings of UpstreamWatch.
struct UpstreamWatchSettings
{
  /// Shortest time from the end of an upstream until its endpoint may belong to another service;
  /// zero disables the watch.
  base::Duration mReuseDelay{ 0 };

  /// Longest time for which the configuration service lists an upstream that has ended.
  base::Duration mListingLifetime{ 0 };

  /// Longest time in which a change at the configuration service reaches this process.
  base::Duration mPropagation{ 0 };

  /// Age of the configuration service's newest response above which the service counts as
  /// unavailable.
  base::Duration mMaxResponseAge{ 0 };

  auto operator<=>(const UpstreamWatchSettings&) const = default;
};

/// @brief One start of an upstream, as the configuration lists it.
struct ListedStart
{
  std::uint64_t mIdentity = 0; ///< see config::Upstream
  std::uint64_t mStartedAtMs = 0;

  auto operator<=>(const ListedStart&) const = default;
};

/// @brief Decides from a connection to the upstream's endpoint whether the process there may be
/// another one than the configuration lists.
///
/// Deterministic: the caller passes the current time to each call.
class UpstreamWatch
{
public:
  explicit UpstreamWatch(UpstreamWatchSettings aSettings) : mSettings(aSettings) {}

  /// @brief Applies the start that the configuration lists at the endpoint; empty if none.
  void list(base::Time aNow, std::optional<ListedStart> aStart);

  /// @brief Applies whether the connection is open now. Called before each other decision that
  /// depends on the upstream, and about every 100 ms.
  void onConnectionChecked(base::Time aNow, bool aIsOpen);

  /// @brief Records the outcome of an attempt to connect.
  void onAttempt(base::Time aNow, flow::ConnectionOutcome aOutcome);

  /// @brief Applies the time of the newest response of the configuration service to any process.
  void onServiceResponse(base::Time aNow, base::Time aRespondedAt);

  /// @brief True if a connection to the endpoint is to be tried now; records the attempt.
  bool startAttempt(base::Time aNow);

  /// @brief True if the listed start has ended and its endpoint may belong to another service.
  bool hasEnded(base::Time aNow) const;

private:
  void reset(base::Time aNow);
  void confirmRunning(base::Time aNow);
  bool isEnabled() const { return mSettings.mReuseDelay > base::Duration::zero(); }

  UpstreamWatchSettings mSettings;
  std::optional<ListedStart> mStart;
  std::optional<ListedStart> mFormerEndedStart; ///< last start that ended and is no longer listed
  bool mIsOpen = false;
  bool mIsAttempting = false;
  bool mIsAttemptOutdated = false; ///< the attempt in progress is for a start listed before
  bool mHasRun = false;            ///< a connection was open since the start was listed
  bool mIsRefused = false; ///< an attempt was refused since the listed start was last known to run
  base::Time mLastRunningAt; ///< the listed start ran at this time
  base::Time mNextAttemptAt;
  bool mHasEnded = false;

  /// Since then the record of the ended start would have expired and the configuration service has
  /// responded without interruption.
  std::optional<base::Time> mExpiredSince;
};

} // namespace cornelcross::agent
