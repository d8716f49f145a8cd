#pragma once

#include "telemetry/event.hpp"

#include <cstdint>
#include <deque>

namespace cornelcross::telemetry {

/// @brief Bounded list of the most recent events, for the /status page.
class RecentEvents
{
public:
  /// @brief An event with its time.
  struct Entry
  {
    std::uint64_t mTimeUs = 0; ///< wall clock, microseconds since the epoch
    Event mEvent;

    auto operator<=>(const Entry&) const = default;
  };

  /// @param aCapacity maximum number of events
  explicit RecentEvents(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Adds an event; evicts the oldest at capacity.
  void add(std::uint64_t aTimeUs, const Event& aEvent);

  /// @brief Events in order of their addition, the oldest first.
  const std::deque<Entry>& entries() const { return mEntries; }

private:
  std::size_t mCapacity;
  std::deque<Entry> mEntries;
};

} // namespace cornelcross::telemetry
