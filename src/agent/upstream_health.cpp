#include "agent/upstream_health.hpp"

namespace cornelcross::agent {

namespace {

constexpr std::uint32_t kMinUnansweredSyns = 3; // a single SYN may be lost
constexpr base::Duration kSynAckTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kRetryInterval = std::chrono::seconds(1);

} // namespace

bool UpstreamHealth::isDown(base::Time aNow) const
{
  const bool isSilent =
    mUnansweredSyns >= kMinUnansweredSyns && aNow - mFirstUnansweredSynAt > kSynAckTimeout;
  return mIsRefusing || isSilent;
}

bool UpstreamHealth::acceptsNewFlows(base::Time aNow) const
{
  return !isDown(aNow) || aNow - mLastSynAt >= kRetryInterval;
}

void UpstreamHealth::recordSyn(base::Time aNow)
{
  if (mUnansweredSyns == 0) {
    mFirstUnansweredSynAt = aNow;
  }
  ++mUnansweredSyns;
  mLastSynAt = aNow;
}

void UpstreamHealth::recordSynAck()
{
  mUnansweredSyns = 0;
  mIsRefusing = false;
}

void UpstreamHealth::recordRefusal(base::Time aNow)
{
  mIsRefusing = true;
  mLastSynAt = aNow;
}

} // namespace cornelcross::agent
