#include "membership/retry_budget.hpp"

#include <algorithm>

namespace cornelcross::membership {

RetryBudget::RetryBudget(double aPerSecond, double aBurst)
  : mPerSecond(aPerSecond), mBurst(aBurst), mLevel(aBurst)
{
}

bool RetryBudget::take(base::Time aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
  mLevel = std::min(mBurst, mLevel + elapsed.count() * mPerSecond);
  mRefilledAt = aNow;
  if (mLevel < 1) {
    return false;
  }
  mLevel -= 1;
  return true;
}

} // namespace cornelcross::membership
