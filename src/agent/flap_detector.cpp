#include "agent/flap_detector.hpp"

namespace cornelcross::agent {

namespace {

constexpr std::size_t kMinRecoveries = 4;
constexpr base::Duration kWindow = std::chrono::seconds(30);
constexpr base::Duration kLimitDuration = std::chrono::seconds(5);
constexpr base::Duration kFlowInterval = std::chrono::seconds(1);

} // namespace

bool FlapDetector::recordRecovery(base::Time aNow)
{
  const bool wasFlapping = isFlapping(aNow);
  mRecoveries.push_back(aNow);
  if (mRecoveries.size() > kMinRecoveries) {
    mRecoveries.pop_front();
  }
  return !wasFlapping && isFlapping(aNow);
}

// The state begins with a recovery, so that the window ends at the last one, not now.
bool FlapDetector::isFlapping(base::Time aNow) const
{
  return mRecoveries.size() == kMinRecoveries &&
         mRecoveries.back() - mRecoveries.front() <= kWindow &&
         aNow - mRecoveries.back() < kLimitDuration;
}

bool FlapDetector::acceptsNewFlows(base::Time aNow) const
{
  return !isFlapping(aNow) || aNow - mLastFlowAt >= kFlowInterval;
}

} // namespace cornelcross::agent
