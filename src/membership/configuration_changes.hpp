#pragma once

#include "config/configuration.hpp"
#include "telemetry/event.hpp"

namespace cornelcross::membership {

/// @brief Events of one change of configuration, at most; what exceeds them is counted.
inline constexpr std::size_t kMaxChangeEvents = 64;

/// @brief What a process believes otherwise under aAfter than under aBefore: availability zones,
/// shares of addresses, and upstreams by state. A first configuration is no change of services.
std::vector<telemetry::Event> changesBetween(const config::Configuration& aBefore,
                                             const config::Configuration& aAfter);

} // namespace cornelcross::membership
