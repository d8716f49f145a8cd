#pragma once

#include "telemetry/metrics.hpp"

#include <string_view>

namespace cornelcross::telemetry {

/// @brief Counts dropped datagrams by reason. Reasons that are known before are registered at
/// once, so that a rate over them begins at zero.
class DropCounter
{
public:
  explicit DropCounter(Metrics& aMetrics) : mMetrics(aMetrics) {}

  /// @brief Registers a reason.
  void registerReason(std::string_view aReason) { counterOf(aReason); }

  /// @brief Counts one datagram.
  void count(std::string_view aReason);

private:
  prometheus::Counter& counterOf(std::string_view aReason);

  Metrics& mMetrics;
  std::map<std::string, prometheus::Counter*, std::less<>> mCounters;
};

} // namespace cornelcross::telemetry
