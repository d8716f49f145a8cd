#pragma once

#include "config/config_error.hpp"
#include "config/configuration.hpp"
#include "config/endpoint_index.hpp"

namespace cornelcross::config {

/// @brief Faults of a service against the other accepted services: an address or an endpoint that
/// one of them uses.
/// @return every fault; empty if aService fits
std::vector<ConfigError> crossCheck(const Service& aService, const EndpointIndex& aIndex);

/// @brief Upstreams whose availability zone isn't listed. Not a fault: an unlisted zone is in.
std::vector<ConfigError> findUnlistedZones(const Configuration& aConfiguration);

} // namespace cornelcross::config
