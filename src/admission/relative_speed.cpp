#include "admission/relative_speed.hpp"

#include <algorithm>

namespace cornelcross::admission {

// The upper bound of 1 keeps an upstream that fails fast from attracting load.
double relativeSpeed(base::Duration aServiceMedian, base::Duration aResponseTime)
{
  if (aServiceMedian <= base::Duration::zero() || aResponseTime <= base::Duration::zero()) {
    return 1;
  }
  const double ratio =
    static_cast<double>(aServiceMedian.count()) / static_cast<double>(aResponseTime.count());
  return std::clamp(ratio, kMinRelativeSpeed, 1.0);
}

} // namespace cornelcross::admission
