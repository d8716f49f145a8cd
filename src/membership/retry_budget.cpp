#include "membership/retry_budget.hpp"

#include <algorithm>

namespace cornelcross::membership {

RetryBudget::RetryBudget(double aPerSecond, double aBurst)
  : mRetriesPerSecond(aPerSecond), mMaxRetries(aBurst), mAvailable(aBurst)
{
}

bool RetryBudget::tryConsume(base::Time aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
  mAvailable = std::min(mMaxRetries, mAvailable + elapsed.count() * mRetriesPerSecond);
  mRefilledAt = aNow;
  if (mAvailable < 1) {
    return false;
  }
  mAvailable -= 1;
  return true;
}

} // namespace cornelcross::membership
