#pragma once

#include "membership/backoff.hpp"
#include "membership/settings.hpp"

#include <optional>

namespace cornelcross::membership {

/// @brief One read of the configuration service.
struct ServiceRead
{
  /// Maximum delay of the response in seconds. The service delays it until a document changes.
  unsigned mWaitSeconds = 0;

  /// Only what has changed since this process last read is of interest.
  bool mIsCheck = false;

  auto operator<=>(const ServiceRead&) const = default;
};

/// @brief Decides when a process reads the configuration service.
///
/// A reader watches the service: it starts the next read when one ends. Any other process reads
/// once if the newest response to itself or, according to heartbeats, to its peers is older than
/// Settings::mServiceStaleAfter plus a random part of Settings::mServiceStaleJitter, or if no
/// response is known. Failed readers are thus replaced without an election. The jitter is long so
/// that the first of thousands of processes to read spreads its result before the others read.
class ServiceSchedule
{
public:
  explicit ServiceSchedule(const Settings& aSettings);

  /// @brief Requests one read at aNow, regardless of a read in progress; used at the start of the
  /// process.
  void requestRead(base::Time aNow);

  /// @brief Requests a check of what has changed; used after a pause. Replaces a read that waits
  /// for a change, but not one in progress that makes a complete list: a process that reads a large
  /// list slowly would start it over and over.
  void requestCheck(base::Time aNow);

  /// @brief Does without the read with which a process starts, because peers have recent documents.
  void skipFirstRead() { mIsReadRequested = false; }

  /// @brief Starts a read if one is due. @return the read; empty if none is due
  std::optional<ServiceRead> start(base::Time aNow, bool aIsReader, Random& aRandom);

  /// @brief Handles the end of a read.
  /// @param aIsCurrent false if the read failed or the response is older than the active revision
  void onReadFinished(base::Time aNow, bool aIsCurrent, Random& aRandom);

  /// @brief Records the age of the newest response that a peer reports.
  void recordResponseAge(base::Time aNow, base::Duration aAge);

  /// @brief Age of the newest response to this process or to a peer; empty if none is known.
  std::optional<base::Duration> responseAge(base::Time aNow) const;

  /// @brief True while a read is in progress.
  bool isInProgress() const { return mIsInProgress; }

private:
  ServiceRead startRead(ServiceRead aRead);

  Settings mSettings;
  Backoff mBackoff;
  bool mIsInProgress = false;
  std::optional<base::Time> mNewestResponse;
  base::Time mEarliestRead;
  base::Duration mStaleAfter;
  bool mIsReadRequested = true;
  bool mIsCheckRequested = false;
  bool mIsWaiting = false; ///< the read in progress waits for a change
};

} // namespace cornelcross::membership
