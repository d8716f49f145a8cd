#pragma once

#include "balancer/packet_path.hpp"
#include "balancer/packet_router.hpp"
#include "telemetry/drop_counter.hpp"

namespace cornelcross::balancer {

/// @brief What a balancer counts. docs/METRICS.md lists it.
class BalancerMetrics
{
public:
  /// @brief Registers everything; values are read when they are asked for.
  BalancerMetrics(telemetry::Metrics& aMetrics,
                  const PacketRouter& aRouter,
                  const PacketPath& aPath);

  /// @brief Counts a dropped datagram.
  void recordDrop(std::string_view aReason) { mDrops.count(aReason); }

private:
  telemetry::DropCounter mDrops;
};

} // namespace cornelcross::balancer
