#include "telemetry/recent_events.hpp"

namespace cornelcross::telemetry {

void RecentEvents::add(std::uint64_t aMicroseconds, const Event& aEvent)
{
  if (mEntries.size() >= mCapacity) {
    mEntries.pop_front();
  }
  mEntries.push_back({ aMicroseconds, aEvent });
}

} // namespace cornelcross::telemetry
