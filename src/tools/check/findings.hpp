#pragma once

#include "config/configuration.hpp"
#include "tools/check/finding.hpp"

#include <vector>

namespace cornelcross::tools::check {

/// @brief Finds what can be judged from a single document: shares of weight 0, covered prefixes and
/// limits that contradict each other.
std::vector<Finding> findInDocuments(const config::Configuration& aConfiguration);

/// @brief Finds what can be judged from a complete configuration: services, addresses and zones
/// that lead nowhere.
std::vector<Finding> findAcrossDocuments(const config::Configuration& aConfiguration);

} // namespace cornelcross::tools::check
