#pragma once

#include "config/config_error.hpp"
#include "config/configuration.hpp"
#include "config/endpoint_index.hpp"

namespace cornelcross::config {

/// @brief Checks a service for conflicts with the accepted services. An address or endpoint that
/// another service uses is an error.
/// @return all errors; empty if there is no conflict
std::vector<ConfigError> crossCheck(const Service& aService, const EndpointIndex& aIndex);

/// @brief Lists the upstreams whose availability zone is not in the document "zones".
/// @return warnings, not errors, since an unlisted zone is in service
std::vector<ConfigError> findUnlistedZones(const Configuration& aConfiguration);

} // namespace cornelcross::config
