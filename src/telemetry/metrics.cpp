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

void Metrics::onExpose(std::function<void()> aHook)
{
  mHooks.push_back(std::move(aHook));
}

std::string Metrics::expose() const
{
  for (const auto& hook : mHooks) {
    hook();
  }
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

void raiseTo(prometheus::Counter& aCounter, double aTotal)
{
  aCounter.Increment(aTotal - aCounter.Value());
}

} // namespace cornelcross::telemetry
