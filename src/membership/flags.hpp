#pragma once

#include "base/settings_validator.hpp"
#include "membership/runtime.hpp"

namespace cornelcross::membership {

/// @brief Settings of the membership from --peers, --zone, --config_service, --config_readers and
/// --control_budget, which every program of the fleet has.
/// @param aSelf   this process, as others reach it
/// @param aListen where it listens
RuntimeSettings readFlags(base::SettingsValidator& aValidator,
                          flow::Endpoint aSelf,
                          flow::Endpoint aListen);

} // namespace cornelcross::membership
