#include "telemetry/drop_counter.hpp"

#include <prometheus/counter.h>

namespace cornelcross::telemetry {

void DropCounter::count(std::string_view aReason)
{
  counterOf(aReason).Increment();
}

prometheus::Counter& DropCounter::counterOf(std::string_view aReason)
{
  auto found = mCounters.find(aReason);
  if (found == mCounters.end()) {
    auto& counter = mMetrics.counter("cornelcross_datagrams_dropped_total",
                                     "Datagrams dropped, by reason",
                                     { { "reason", std::string(aReason) } });
    found = mCounters.emplace(aReason, &counter).first;
  }
  return *found->second;
}

} // namespace cornelcross::telemetry
