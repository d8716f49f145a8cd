#include "agent/record_renewal.hpp"

#include "config/revision.hpp"

#include <utility>

namespace cornelcross::agent {

void RecordRenewal::observe(std::uint64_t aStartedAtMs)
{
  mStartedAtMs = aStartedAtMs;
  mIsReadOutdated = mIsReading;
  mLastRead.reset();
}

bool RecordRenewal::startRead(base::Time aNow)
{
  if (mIsReading || aNow < mNextReadAt) {
    return false;
  }
  mIsReading = true;
  mReadStartedAt = aNow;
  return true;
}

// What the service wrote after its response to a read, it wrote after the read started. Revisions
// of different epochs cannot be compared.
bool RecordRenewal::isRenewed(const config::UpstreamRecord& aRecord) const
{
  if (!mLastRead || aRecord.mStartedAtMs != mStartedAtMs) {
    return false;
  }
  const std::uint64_t lastRevision = mLastRead->mServiceRevision;
  const bool isSameEpoch = config::epochOf(lastRevision) == config::epochOf(aRecord.mRevision);
  return isSameEpoch && aRecord.mRevision > lastRevision;
}

std::optional<base::Time> RecordRenewal::onRead(
  base::Time aNow,
  const std::optional<config::UpstreamRecord>& aRecord)
{
  if (!std::exchange(mIsReading, false)) {
    return std::nullopt;
  }
  mNextReadAt = aNow + mInterval;
  if (std::exchange(mIsReadOutdated, false) || !aRecord) {
    return std::nullopt;
  }
  const auto ranAt = isRenewed(*aRecord) ? std::optional(mLastRead->mStartedAt) : std::nullopt;
  mLastRead = Read{ mReadStartedAt, aRecord->mServiceRevision };
  return ranAt;
}

} // namespace cornelcross::agent
