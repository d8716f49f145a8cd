#include "agent/upstream_watch.hpp"

namespace cornelcross::agent {

namespace {

constexpr std::uint32_t kMinUnanswered = 3; // one lost SYN is no verdict
constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kRetryInterval = std::chrono::seconds(1);

} // namespace

bool UpstreamWatch::isDown(base::Time aNow) const
{
  const bool isSilent = mUnanswered >= kMinUnanswered && aNow - mFirstUnanswered > kAnswerTimeout;
  return mIsRefusing || isSilent;
}

bool UpstreamWatch::acceptsNewFlows(base::Time aNow) const
{
  return !isDown(aNow) || aNow - mLastSyn >= kRetryInterval;
}

void UpstreamWatch::noteSyn(base::Time aNow)
{
  if (mUnanswered == 0) {
    mFirstUnanswered = aNow;
  }
  ++mUnanswered;
  mLastSyn = aNow;
}

void UpstreamWatch::noteAccepted()
{
  mUnanswered = 0;
  mIsRefusing = false;
}

void UpstreamWatch::noteRefused(base::Time aNow)
{
  mIsRefusing = true;
  mLastSyn = aNow;
}

} // namespace cornelcross::agent
