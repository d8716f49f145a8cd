#pragma once

#include <functional>
#include <map>
#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace cornelcross::telemetry {

/// @brief Registry of the counters, gauges and histograms of a process.
class Metrics
{
public:
  using Labels = std::map<std::string, std::string>;

  /// @brief Returns the counter with this name and these labels; creates it at the first call.
  prometheus::Counter& counter(const std::string& aName,
                               const std::string& aHelp,
                               const Labels& aLabels = {});

  /// @brief Returns the gauge with this name and these labels; creates it at the first call.
  prometheus::Gauge& gauge(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels = {});

  /// @brief Returns the histogram with this name; creates it at the first call.
  /// @param aBounds upper bounds of the buckets
  prometheus::Histogram& histogram(const std::string& aName,
                                   const std::string& aHelp,
                                   const std::vector<double>& aBounds);

  /// @brief Registers a hook that runs before each exposition, to set metrics on demand.
  void onExpose(std::function<void()> aHook);

  /// @brief Returns all metrics in the Prometheus text format.
  std::string expose() const;

private:
  prometheus::Registry mRegistry;
  std::vector<std::function<void()>> mHooks;
};

/// @brief Raises a counter to aTotal.
/// @pre aTotal is not below the value of the counter
void raiseCounterTo(prometheus::Counter& aCounter, double aTotal);

/// @brief Upper bounds of histogram buckets for latencies of requests, in seconds.
const std::vector<double>& latencyBuckets();

} // namespace cornelcross::telemetry
