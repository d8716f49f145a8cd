#pragma once

#include "config/configuration.hpp"
#include "telemetry/metrics.hpp"

namespace cornelcross::telemetry {

/// @brief Gauges of the active configuration.
class ConfigMetrics
{
public:
  explicit ConfigMetrics(Metrics& aMetrics);

  /// @brief Sets the gauges for a configuration that becomes active.
  /// @note O(z + s) for z availability zones and s services
  void update(const config::Configuration& aConfiguration);

private:
  prometheus::Gauge& mEpoch;
  prometheus::Gauge& mRevision;
  prometheus::Gauge& mServices;
  prometheus::Gauge& mUpstreams;
  prometheus::Gauge& mZonesOut;
};

} // namespace cornelcross::telemetry
