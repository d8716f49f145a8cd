#include "membership/backoff.hpp"

#include <algorithm>

namespace cornelcross::membership {

base::Duration Backoff::next(Random& aRandom)
{
  // Full jitter (Brooker, "Exponential backoff and jitter", 2015), but with a lower bound above
  // zero so that no retry is immediate.
  const base::Duration delay = aRandom.between(mMin / 2, mBound);
  mBound = std::min(mMax, mBound * 2);
  return delay;
}

} // namespace cornelcross::membership
