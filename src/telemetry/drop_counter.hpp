#pragma once

#include "telemetry/metrics.hpp"

#include <string_view>

namespace cornelcross::telemetry {

/// @brief Counts dropped datagrams by reason. Reasons known in advance are registered at the start,
/// so that their counters exist with value 0 and a rate over them includes the first drop.
class DropCounter
{
public:
  explicit DropCounter(Metrics& aMetrics) : mMetrics(aMetrics) {}

  /// @brief Creates the counter of aReason with value 0.
  void registerReason(std::string_view aReason) { counterOf(aReason); }

  /// @brief Counts one datagram dropped for aReason.
  void count(std::string_view aReason);

private:
  prometheus::Counter& counterOf(std::string_view aReason);

  Metrics& mMetrics;
  std::map<std::string, prometheus::Counter*, std::less<>> mCounters;
};

} // namespace cornelcross::telemetry
