#pragma once

#include "platform/store/store_fleet.hpp"

#include <map>

namespace cornelcross::test {

/// @brief Plays events at their steps and then aCalmSteps without any. @return the violations
inline std::vector<std::string> violationsOf(const std::map<unsigned, FleetEvent>& aEvents,
                                             unsigned aCalmSteps)
{
  StoreFleet fleet;
  for (unsigned step = 1; step <= aEvents.rbegin()->first + aCalmSteps; ++step) {
    const auto event = aEvents.find(step);
    fleet.step(event == aEvents.end() ? FleetEvent{} : event->second);
  }
  return fleet.violations();
}

} // namespace cornelcross::test
