#pragma once

#include "base/time.hpp"

namespace cornelcross::membership {

/// @brief Limits the rate of retries by a token bucket.
class RetryBudget
{
public:
  /// @param aPerSecond long-term rate of retries per second
  /// @param aBurst     capacity of the bucket in retries
  RetryBudget(double aPerSecond, double aBurst);

  /// @brief Takes one retry from the budget.
  /// @return false if the budget is exhausted
  bool tryConsume(base::Time aNow);

private:
  double mRetriesPerSecond;
  double mMaxRetries;
  double mAvailable;
  base::Time mRefilledAt;
};

} // namespace cornelcross::membership
