#pragma once

#include "agent/record_renewal.hpp"
#include "agent/upstream_proof.hpp"
#include "base/time.hpp"
#include "config/upstream_record.hpp"
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

/// @brief Decides from what the upstream sends and from connections to its endpoint whether the
/// process there may be another one than the configuration lists.
///
/// New flows need a proof that the listed start ran less than the reuse delay before: a packet that
/// it sent, a connection that it accepted, or its record. How long this process ran in between, and
/// whether a connection is still open, make no difference: the connection may stay open when its
/// peer has ended without closing it.
///
/// A start without such a proof has ended if this process ran for the reuse delay and was shown
/// none, or if the endpoint refused a connection. After a pause of this process, a start whose
/// connection is still open is only unproven: the next connection that it accepts proves it.
///
/// Nor does a listing prove that its start runs: the start may have ended before this process
/// received the configuration. It must accept a connection. If it was listed before the
/// configuration was confirmed for the first time, its endpoint must not have refused one before.
/// That an ended start runs after all is proved by its record, if the record was written again
/// since an earlier read.
///
/// Deterministic: the caller passes the current time to each call.
class UpstreamWatch
{
public:
  explicit UpstreamWatch(UpstreamWatchSettings aSettings);

  /// @brief Applies the start that the configuration lists at the endpoint; empty if none.
  void list(base::Time aNow, std::optional<ListedStart> aStart);

  /// @brief Applies whether the connection is open now. Called about every 100 ms, and before each
  /// other decision that depends on the upstream if the last call is longer ago.
  /// @param aPacketsHandledUntil each packet that arrived before was passed to onPacket()
  void onConnectionChecked(base::Time aNow, bool aIsOpen, base::Time aPacketsHandledUntil);

  /// @brief Records that the upstream sent a packet.
  void onPacket() { mHasSentPacket = true; }

  /// @brief Records that an attempt to connect that this object did not start was refused.
  void onRefusal();

  /// @brief Records that the active configuration was confirmed as current. A start that is listed
  /// for the first time later is newer than the refusals before.
  void onConfirmed() { mIsConfirmed = true; }

  /// @brief Records the outcome of an attempt to connect.
  void onAttempt(base::Time aNow, flow::ConnectionOutcome aOutcome);

  /// @brief Applies the time of the newest response of the configuration service to any process.
  void onServiceResponse(base::Time aNow, base::Time aRespondedAt);

  /// @brief True if a connection to the endpoint is to be tried now; records the attempt.
  bool startAttempt(base::Time aNow);

  /// @brief True if the record of the listed start is to be read now; records the read.
  bool startRecordRead(base::Time aNow);

  /// @brief Applies the record that was read; empty if there was no response.
  void onRecord(base::Time aNow, const std::optional<config::UpstreamRecord>& aRecord);

  /// @brief True if the listed start has ended and its endpoint may belong to another service.
  bool hasEnded(base::Time aNow) const;

  /// @brief True if new flows may be sent to the endpoint: the listed start was seen running and
  /// has not ended.
  bool mayReceiveFlows(base::Time aNow) const;

  /// @brief The newest proof that the listed start runs; empty if there is none.
  const std::optional<UpstreamProof>& proof() const { return mProof; }

private:
  void reset(base::Time aObservedSince);
  void revive(base::Time aObservedSince);
  void confirmRunning(UpstreamProof aProof);
  bool isProven(base::Time aNow) const;
  base::Time waitingSince() const;
  bool isEnabled() const { return mSettings.mReuseDelay > base::Duration::zero(); }

  UpstreamWatchSettings mSettings;
  base::Duration mAcceptedInterval; ///< time between attempts while the endpoint accepts them
  RecordRenewal mRenewal;
  std::optional<ListedStart> mStart;
  std::optional<ListedStart> mFormerEndedStart; ///< last start that ended and is no longer listed
  bool mIsOpen = false;
  bool mHasSentPacket = false; ///< since the last check
  base::Time mLastCheckAt;
  base::Time mPacketsHandledUntil; ///< as of the last check
  bool mIsAttempting = false;
  base::Time mAttemptStartedAt;
  bool mIsAttemptOutdated = false; ///< the attempt in progress is for a start listed before
  std::optional<UpstreamProof> mProof;
  bool mIsAnswered = false; ///< the last attempt was accepted
  bool mIsRefused = false;  ///< an attempt was refused since the listed start was last known to run
  bool mHasSeenRefusal = false; ///< an attempt was refused since this object exists
  bool mIsConfirmed = false;    ///< the configuration was confirmed since this object exists
  bool mIsInitial = false;      ///< the listed start was listed before that confirmation
  base::Time mObservedSince;    ///< from then on this process has watched the start without a pause
  base::Time mNextAttemptAt;
  bool mHasEnded = false;

  /// Since then the record of the ended start would have expired and the configuration service has
  /// responded without interruption.
  std::optional<base::Time> mExpiredSince;
};

} // namespace cornelcross::agent
