#pragma once

#include "base/time.hpp"

namespace cornelcross::membership {

/// @brief Bounds retries: a bucket that refills at a constant rate.
class RetryBudget
{
public:
  /// @param aPerSecond retries that are granted a second in the long run
  /// @param aBurst     retries that may be granted at once
  RetryBudget(double aPerSecond, double aBurst);

  /// @brief Takes one retry from the budget; false if there is none.
  bool take(base::Time aNow);

private:
  double mPerSecond;
  double mBurst;
  double mLevel;
  base::Time mRefilledAt;
};

} // namespace cornelcross::membership
