#pragma once

#include <cstdint>
#include <string>

namespace cornelcross::history {

/// @brief What must always hold.
enum class Point
{
  kEstablishedFlow,  ///< an established flow survives planned changes, but for a zone taken out
  kServiceIsolation, ///< no packet reaches another service
  kColdLoad,         ///< a cold upstream gets no more than it bears
  kZoneOut,          ///< a zone that is out receives nothing after the bound
  kWholeAnswer,      ///< a caller gets the whole answer to its own request
  kTrueRefusal,      ///< what was refused did not run
  kSavedOnce,        ///< a non-idempotent result is saved at most once
  kLeaving,          ///< a leaving upstream gets no new flow after the bound
  kGracefulStop,     ///< a planned stop cuts no request in progress
  kConfiguration,    ///< in force everywhere within the bound, and never reverts
};

/// @brief Name of the point in scripts and documents.
std::string toString(Point aPoint);

/// @brief A record that breaks a point.
struct Violation
{
  Point mPoint = Point::kEstablishedFlow;
  std::uint64_t mTime = 0; ///< microseconds since the epoch
  std::string mText;       ///< what was seen

  auto operator<=>(const Violation&) const = default;
};

} // namespace cornelcross::history
