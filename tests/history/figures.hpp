#pragma once

#include "history/history.hpp"
#include "history/violation.hpp"

#include <vector>

namespace cornelcross::history {

/// @brief Worst value of a run for a point, and the bound of the point.
struct Figure
{
  Point mPoint = Point::kZoneOut;
  std::uint64_t mWorst = 0; ///< in mUnit
  std::uint64_t mBound = 0; ///< in mUnit
  std::string mUnit;        ///< "ms"

  auto operator<=>(const Figure&) const = default;
};

/// @brief Returns the worst values of a run: the time from taking a zone out of service to the last
/// packet into the zone, from setting an upstream to "leaving" to its last new flow, and from the
/// acceptance of a revision until the last process applied the revision. Points that the run does
/// not exercise are omitted.
std::vector<Figure> figures(const History& aHistory);

} // namespace cornelcross::history
