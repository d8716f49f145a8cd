#pragma once

#include "base/settings_validator.hpp"
#include "membership/runtime.hpp"

namespace cornelcross::membership {

/// @brief Reads the settings of the membership runtime from --peers, --zone, --config_service,
/// --config_readers and --control_budget, which agents and balancers have in common.
/// @param aValidator collects the errors of invalid values
/// @param aSelf      endpoint under which peers reach this process
/// @param aListen    local endpoint on which this process listens
RuntimeSettings readFlags(base::SettingsValidator& aValidator,
                          flow::Endpoint aSelf,
                          flow::Endpoint aListen);

} // namespace cornelcross::membership
