#pragma once

#include "agent/flow_manager.hpp"
#include "telemetry/recent_events.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::agent {

/// @brief Makes the JSON document for /status: revision, upstream with state and load, limits and
/// recently refused flows.
nlohmann::json makeStatus(const std::string& aName,
                          const FlowManager& aFlowManager,
                          const telemetry::RecentEvents& aRefusals);

} // namespace cornelcross::agent
