#pragma once

#include "membership/random.hpp"

namespace cornelcross::membership {

/// @brief Delay before each retry: exponential with full jitter, so that processes which failed
/// together don't retry together.
class Backoff
{
public:
  /// @param aMin bound of the first delay
  /// @param aMax bound of every delay
  Backoff(base::Duration aMin, base::Duration aMax) : mMin(aMin), mMax(aMax), mBound(aMin) {}

  /// @brief Delay before the next try.
  base::Duration next(Random& aRandom);

  /// @brief Starts over after a success.
  void reset() { mBound = mMin; }

private:
  base::Duration mMin;
  base::Duration mMax;
  base::Duration mBound;
};

} // namespace cornelcross::membership
