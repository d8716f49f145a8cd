#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cornelcross::history {

class History;

/// @brief A span of time, microseconds since the epoch.
struct Interval
{
  std::uint64_t mBegin = 0;
  std::uint64_t mEnd = UINT64_MAX;

  auto operator<=>(const Interval&) const = default;

  /// @brief True if aTime is in the span and more than aDelay after its begin.
  bool containsAfter(std::uint64_t aDelay, std::uint64_t aTime) const
  {
    return aTime > mBegin && aTime - mBegin > aDelay && aTime < mEnd;
  }

  /// @brief True if the spans share a moment.
  bool overlaps(const Interval& aOther) const
  {
    return mBegin <= aOther.mEnd && aOther.mBegin <= mEnd;
  }
};

/// @brief Spans during which the last record of aEvent for aName had the state aState. What
/// operators publish, which names its revision, counts from its acceptance by any process.
std::vector<Interval> intervalsOf(const History& aHistory,
                                  const std::string& aEvent,
                                  const std::string& aName,
                                  const std::string& aState);

} // namespace cornelcross::history
