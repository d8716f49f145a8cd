#pragma once

#include "membership/random.hpp"

namespace cornelcross::membership {

/// @brief Delays before successive retries: exponential backoff with full jitter, so that processes
/// which failed at the same time do not retry at the same time.
class Backoff
{
public:
  /// @param aMin upper bound of the first delay
  /// @param aMax upper bound of every delay
  Backoff(base::Duration aMin, base::Duration aMax) : mMin(aMin), mMax(aMax), mBound(aMin) {}

  /// @brief Returns the delay before the next retry, uniform between half of aMin and the current
  /// bound, and doubles the bound up to aMax.
  base::Duration next(Random& aRandom);

  /// @brief Resets the bound to the minimum after a success.
  void reset() { mBound = mMin; }

private:
  base::Duration mMin;
  base::Duration mMax;
  base::Duration mBound;
};

} // namespace cornelcross::membership
