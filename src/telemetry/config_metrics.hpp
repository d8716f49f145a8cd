#pragma once

#include "config/configuration.hpp"
#include "telemetry/metrics.hpp"

namespace cornelcross::telemetry {

/// @brief Gauges of the configuration in force.
class ConfigMetrics
{
public:
  explicit ConfigMetrics(Metrics& aMetrics);

  /// @brief A configuration came into force. @note O(zones and services)
  void update(const config::Configuration& aConfiguration);

private:
  prometheus::Gauge& mRevision;
  prometheus::Gauge& mServices;
  prometheus::Gauge& mUpstreams;
  prometheus::Gauge& mZonesOut;
};

} // namespace cornelcross::telemetry
