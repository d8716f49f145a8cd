#pragma once

#include "telemetry/event.hpp"

#include <cstdint>
#include <deque>

namespace cornelcross::telemetry {

/// @brief The last few events of some kind, for /status.
class RecentEvents
{
public:
  /// @brief An event and when it happened.
  struct Entry
  {
    std::uint64_t mMicroseconds = 0; ///< wall clock, since the epoch
    Event mEvent;

    auto operator<=>(const Entry&) const = default;
  };

  /// @param aCapacity events kept
  explicit RecentEvents(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Adds an event; the oldest leaves when there are too many.
  void add(std::uint64_t aMicroseconds, const Event& aEvent);

  /// @brief Events from the oldest to the newest.
  const std::deque<Entry>& entries() const { return mEntries; }

private:
  std::size_t mCapacity;
  std::deque<Entry> mEntries;
};

} // namespace cornelcross::telemetry
