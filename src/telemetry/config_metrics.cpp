#include "telemetry/config_metrics.hpp"

#include "config/revision.hpp"

#include <prometheus/gauge.h>

namespace cornelcross::telemetry {

ConfigMetrics::ConfigMetrics(Metrics& aMetrics)
  : mEpoch(aMetrics.gauge("cornelcross_config_epoch", "Epoch of the revision in force"))
  , mRevision(
      aMetrics.gauge("cornelcross_config_revision", "Revision in force, 0 before the first"))
  , mServices(aMetrics.gauge("cornelcross_config_services", "Services in force"))
  , mUpstreams(aMetrics.gauge("cornelcross_config_upstreams", "Upstreams of all services in force"))
  , mZonesOut(aMetrics.gauge("cornelcross_config_zones_out", "Availability zones taken out"))
{
}

void ConfigMetrics::update(const config::Configuration& aConfiguration)
{
  std::size_t upstreams = 0;
  for (const auto& [name, service] : aConfiguration.mServices) {
    upstreams += service.mUpstreams.size();
  }
  std::size_t zonesOut = 0;
  for (const auto& [name, zone] : aConfiguration.mZones) {
    zonesOut += zone.mIsInService ? 0 : 1;
  }
  mEpoch.Set(static_cast<double>(config::epochOf(aConfiguration.mRevision)));
  mRevision.Set(static_cast<double>(aConfiguration.mRevision));
  mServices.Set(static_cast<double>(aConfiguration.mServices.size()));
  mUpstreams.Set(static_cast<double>(upstreams));
  mZonesOut.Set(static_cast<double>(zonesOut));
}

} // namespace cornelcross::telemetry
