#include "admission/opening_wait.hpp"

#include <algorithm>

namespace cornelcross::admission {

// A slot becomes free once in the response time divided by the slots. The flow needs the slot after
// those of the items before it.
base::Duration expectedWait(const QueueState& aState)
{
  const auto items = static_cast<std::int64_t>(aState.mItemsAhead + 1);
  return aState.mResponseTime * items / std::max(aState.mSlots, std::uint32_t{ 1 });
}

std::optional<base::Duration> openingWait(const config::RequestClass* aClass,
                                          const AdmissionSettings& aSettings,
                                          const QueueState& aState)
{
  const base::Duration longest =
    aClass == nullptr ? aSettings.mMaxQueueTime : aSettings.mMaxOpeningWait;
  if (longest == base::Duration::zero()) {
    return std::nullopt;
  }
  if (aClass == nullptr) {
    return longest;
  }
  const base::Duration objective = std::chrono::milliseconds(aClass->mObjectiveMs);
  const base::Duration allowed = std::min(longest, objective - aState.mResponseTime);
  if (allowed <= base::Duration::zero() || expectedWait(aState) > allowed) {
    return std::nullopt;
  }
  return allowed;
}

} // namespace cornelcross::admission
