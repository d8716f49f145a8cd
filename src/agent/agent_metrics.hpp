#pragma once

#include "agent/flow_manager.hpp"
#include "telemetry/drop_counter.hpp"

namespace cornelcross::agent {

/// @brief What an agent counts. docs/METRICS.md lists it.
class AgentMetrics
{
public:
  /// @brief Registers everything; gauges are read from aFlowManager when they are asked for.
  AgentMetrics(telemetry::Metrics& aMetrics, FlowManager& aFlowManager);

  /// @brief Counts what an event tells.
  void recordEvent(const telemetry::Event& aEvent);

  /// @brief Counts a dropped datagram.
  void recordDrop(std::string_view aReason) { mDrops.count(aReason); }

private:
  telemetry::DropCounter mDrops;
  prometheus::Counter& mOpened;
  prometheus::Counter& mClosed;
  prometheus::Counter& mRefused;
  prometheus::Counter& mAdopted;
};

} // namespace cornelcross::agent
