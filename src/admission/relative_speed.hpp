#pragma once

#include "base/time.hpp"

namespace cornelcross::admission {

/// @brief Lower bound of a relative speed, and the speed of an upstream that fails.
inline constexpr double kMinRelativeSpeed = 0.25;

/// @brief Speed of an upstream in relation to the others of its service, between kMinRelativeSpeed
/// and 1; 1 if one of the response times is zero, which means unknown.
/// @param aServiceMedian median of the response times of the service's upstreams
/// @param aResponseTime  response time of the upstream
double relativeSpeed(base::Duration aServiceMedian, base::Duration aResponseTime);

} // namespace cornelcross::admission
