#pragma once

#include "agent/flow_manager.hpp"
#include "telemetry/recent_events.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::agent {

/// @brief Document for /status: revision, upstream with state and load, limits, last refusals.
nlohmann::json makeStatus(const std::string& aName,
                          const FlowManager& aFlowManager,
                          const telemetry::RecentEvents& aRefusals);

} // namespace cornelcross::agent
