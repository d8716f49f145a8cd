#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cornelcross::history {

class History;

/// @brief A time interval in microseconds since the epoch.
struct Interval
{
  std::uint64_t mBegin = 0;
  std::uint64_t mEnd = UINT64_MAX;

  auto operator<=>(const Interval&) const = default;

  /// @brief True if the interval contains aTime and begins more than aDelay before aTime.
  bool containsAfter(std::uint64_t aDelay, std::uint64_t aTime) const
  {
    return aTime > mBegin && aTime - mBegin > aDelay && aTime < mEnd;
  }

  /// @brief True if the intervals overlap or touch.
  bool overlaps(const Interval& aOther) const
  {
    return mBegin <= aOther.mEnd && aOther.mBegin <= mEnd;
  }
};

/// @brief Returns the intervals during which the latest record of aEvent for aName has the state
/// aState. A record with a revision, which operators have published, takes effect when the first
/// process applies the revision.
std::vector<Interval> intervalsOf(const History& aHistory,
                                  const std::string& aEvent,
                                  const std::string& aName,
                                  const std::string& aState);

} // namespace cornelcross::history
