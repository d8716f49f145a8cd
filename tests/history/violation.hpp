#pragma once

#include <cstdint>
#include <string>

namespace cornelcross::history {

/// @brief A guarantee of the load balancer that must hold in every run.
enum class Point
{
  kEstablishedFlow,  ///< an established flow survives planned changes, except a zone taken out
  kServiceIsolation, ///< no packet reaches an upstream of another service
  kColdLoad,         ///< a cold upstream receives no more requests than its limit
  kZoneOut,          ///< a zone out of service receives no packet after the bound
  kWholeAnswer,      ///< a caller receives the complete response to its own request
  kTrueRefusal,      ///< a refused or shed request is never processed
  kSavedOnce,        ///< a non-idempotent result is saved at most once
  kLeaving,          ///< a leaving upstream receives no new flow after the bound
  kGracefulStop,     ///< a planned stop interrupts no request in progress
  kConfiguration,    ///< a revision is active in every process within the bound and never reverts
};

/// @brief Returns the name of a point in scripts and documents.
std::string toString(Point aPoint);

/// @brief A violation of a point by a run.
struct Violation
{
  Point mPoint = Point::kEstablishedFlow;
  std::uint64_t mTime = 0; ///< microseconds since the epoch
  std::string mText;       ///< description of the violation

  auto operator<=>(const Violation&) const = default;
};

} // namespace cornelcross::history
