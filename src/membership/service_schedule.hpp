#pragma once

#include "membership/backoff.hpp"
#include "membership/settings.hpp"

#include <optional>

namespace cornelcross::membership {

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
  /// process and after a pause.
  void requestRead(base::Time aNow);

  /// @brief Does without the read with which a process starts, because peers have recent documents.
  void skipFirstRead() { mIsReadRequested = false; }

  /// @brief Starts a read if one is due.
  /// @return maximum delay of the response in seconds; empty if no read is due. The service delays
  ///         its response until a document changes.
  std::optional<unsigned> start(base::Time aNow, bool aIsReader, Random& aRandom);

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
  Settings mSettings;
  Backoff mBackoff;
  bool mIsInProgress = false;
  std::optional<base::Time> mNewestResponse;
  base::Time mEarliestRead;
  base::Duration mStaleAfter;
  bool mIsReadRequested = true;
};

} // namespace cornelcross::membership
