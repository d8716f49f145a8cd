#include "telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
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

prometheus::Histogram& Metrics::histogram(const std::string& aName,
                                          const std::string& aHelp,
                                          const std::vector<double>& aBounds)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(mRegistry).Add({}, aBounds);
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

// The buckets range from a fraction of a handshake within an availability zone to the longest
// deadline of a caller.
const std::vector<double>& latencyBuckets()
{
  static const std::vector<double> bounds{ 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                           0.25,  0.5,    1,     2.5,  5,     10,   30 };
  return bounds;
}

void raiseCounterTo(prometheus::Counter& aCounter, double aTotal)
{
  aCounter.Increment(aTotal - aCounter.Value());
}

} // namespace cornelcross::telemetry
