#include "telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace cornelcross::telemetry {

prometheus::Counter& Metrics::counter(const std::string& aName,
                                      const std::string& aHelp,
                                      const Labels& aLabels)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(mRegistry).Add(aLabels);
}

prometheus::Gauge& Metrics::gauge(const std::string& aName,
                                  const std::string& aHelp,
                                  const Labels& aLabels)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(mRegistry).Add(aLabels);
}

std::string Metrics::expose() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace cornelcross::telemetry
