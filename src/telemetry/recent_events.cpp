#include "telemetry/recent_events.hpp"

namespace cornelcross::telemetry {

void RecentEvents::add(std::uint64_t aTimeUs, const Event& aEvent)
{
  if (mEntries.size() >= mCapacity) {
    mEntries.pop_front();
  }
  mEntries.push_back({ aTimeUs, aEvent });
}

} // namespace cornelcross::telemetry
