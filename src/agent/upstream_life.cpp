#include "agent/upstream_life.hpp"

namespace cornelcross::agent {

namespace {

/// The longest requests are answered within about 300 ms; requests of other flows sooner.
constexpr base::Duration kSilence = std::chrono::milliseconds(400);

constexpr base::Duration kInterval = std::chrono::milliseconds(250); // between two looks
constexpr unsigned kRefusals = 2; // one may fall into a restart of the listener

} // namespace

void UpstreamLife::noteDelivered(base::Time aNow)
{
  mUnansweredSince = mUnansweredSince.value_or(aNow);
}

void UpstreamLife::noteHeard()
{
  mUnansweredSince.reset();
  mHasEnded = false;
  mRefusals = 0;
}

bool UpstreamLife::isCheckDue(base::Time aNow, bool aIsLeaving) const
{
  const bool isSilent = mUnansweredSince && aNow - *mUnansweredSince >= kSilence;
  return !mHasEnded && (isSilent || aIsLeaving) && aNow - mCheckedAt >= kInterval;
}

bool UpstreamLife::noteCheck(base::Time aNow, bool aIsRefused)
{
  mCheckedAt = aNow;
  mRefusals = aIsRefused ? mRefusals + 1 : 0;
  const bool endsNow = mRefusals >= kRefusals && !mHasEnded;
  mHasEnded = mHasEnded || endsNow;
  return endsNow;
}

} // namespace cornelcross::agent
