#pragma once

#include "telemetry/metrics.hpp"

namespace cornelcross::telemetry {

/// @brief Registers the metrics that all processes have in common: version and role, start time,
/// processor time and resident memory. The names follow the Prometheus client libraries.
void registerProcessMetrics(Metrics& aMetrics, const std::string& aRole);

} // namespace cornelcross::telemetry
