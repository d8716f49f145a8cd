#pragma once

#include <functional>
#include <map>
#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace cornelcross::telemetry {

/// @brief Counters, gauges and histograms of one process in the Prometheus text format.
class Metrics
{
public:
  using Labels = std::map<std::string, std::string>;

  /// @brief Counter of this name and labels; made at the first call.
  prometheus::Counter& counter(const std::string& aName,
                               const std::string& aHelp,
                               const Labels& aLabels = {});

  /// @brief Gauge of this name and labels; made at the first call.
  prometheus::Gauge& gauge(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels = {});

  /// @brief Histogram of this name with these upper bounds of its buckets; made at the first call.
  prometheus::Histogram& histogram(const std::string& aName,
                                   const std::string& aHelp,
                                   const std::vector<double>& aBounds);

  /// @brief Calls aHook before each exposition, for values that are read when they are asked for.
  void onExpose(std::function<void()> aHook);

  /// @brief Text exposition of every metric.
  std::string expose() const;

private:
  prometheus::Registry mRegistry;
  std::vector<std::function<void()>> mHooks;
};

/// @brief Raises a counter to aTotal, which never falls.
void raiseCounterTo(prometheus::Counter& aCounter, double aTotal);

/// @brief Upper bounds of buckets for times within a request, in seconds.
const std::vector<double>& latencyBuckets();

} // namespace cornelcross::telemetry
