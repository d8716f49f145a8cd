#pragma once

#include "balancer/packet_path.hpp"
#include "balancer/packet_router.hpp"
#include "telemetry/drop_counter.hpp"

namespace cornelcross::balancer {

/// @brief Metrics of a balancer; docs/METRICS.md lists them.
class BalancerMetrics
{
public:
  /// @brief Registers all metrics. Their values are read at each scrape.
  BalancerMetrics(telemetry::Metrics& aMetrics,
                  const PacketRouter& aRouter,
                  const PacketPath& aPath);

  /// @brief Counts a dropped datagram.
  void recordDrop(std::string_view aReason) { mDrops.count(aReason); }

private:
  telemetry::DropCounter mDrops;
};

} // namespace cornelcross::balancer
