#pragma once

#include "telemetry/metrics.hpp"

namespace cornelcross::telemetry {

/// @brief Registers what every process tells about itself: version, role, start, processor time
/// and memory, under the names that Prometheus' own clients use.
void registerProcessMetrics(Metrics& aMetrics, const std::string& aRole);

} // namespace cornelcross::telemetry
