#pragma once

#include "base/time.hpp"
#include "config/upstream_record.hpp"

#include <optional>

namespace cornelcross::agent {

/// @brief Decides from reads of the record of an upstream whether a start of the upstream runs:
/// only the start itself writes its record again.
///
/// Deterministic: the caller passes the current time to each call.
class RecordRenewal
{
public:
  /// @param aInterval time between a response and the next read
  explicit RecordRenewal(base::Duration aInterval) : mInterval(aInterval) {}

  /// @brief Drops all reads, also one in progress, and applies the next ones to another start.
  void observe(std::uint64_t aStartedAtMs);

  /// @brief True if a read is due; records the read.
  bool startRead(base::Time aNow);

  /// @brief Applies the response to the read in progress; empty if there was none.
  /// @return a time at which or after which the start ran; empty unless the record was written
  /// again since the read before
  std::optional<base::Time> onRead(base::Time aNow,
                                   const std::optional<config::UpstreamRecord>& aRecord);

private:
  /// Earlier read of the record.
  struct Read
  {
    base::Time mStartedAt;
    std::uint64_t mServiceRevision = 0;
  };

  bool isRenewed(const config::UpstreamRecord& aRecord) const;

  base::Duration mInterval;
  std::uint64_t mStartedAtMs = 0; ///< of the start
  bool mIsReading = false;
  bool mIsReadOutdated = false; ///< the read in progress is for another start
  base::Time mReadStartedAt;
  base::Time mNextReadAt;
  std::optional<Read> mLastRead;
};

} // namespace cornelcross::agent
