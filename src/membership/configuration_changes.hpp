#pragma once

#include "config/configuration.hpp"
#include "telemetry/event.hpp"

namespace cornelcross::membership {

/// @brief Maximum number of events for one configuration change; one further event counts those
/// that are left out.
inline constexpr std::size_t kMaxChangeEvents = 64;

/// @brief Returns the events that describe the differences between two active configurations:
/// states of availability zones, service shares of addresses, and the number of upstreams of each
/// service by state. A first configuration (aBefore has revision 0) yields events of zones only.
std::vector<telemetry::Event> changeEvents(const config::Configuration& aBefore,
                                           const config::Configuration& aAfter);

} // namespace cornelcross::membership
