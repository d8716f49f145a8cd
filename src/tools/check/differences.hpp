#pragma once

#include "config/configuration.hpp"
#include "tools/check/difference.hpp"

#include <vector>

namespace cornelcross::tools::check {

/// @brief Differences between two configurations, those with the strongest effect on callers first.
///
/// Whether flows end is determined with config::RetainedRoutes as a process with default settings
/// applies it: an upstream that is removed while it is serving keeps its flows.
std::vector<Difference> findDifferences(const config::Configuration& aBefore,
                                        const config::Configuration& aAfter);

} // namespace cornelcross::tools::check
