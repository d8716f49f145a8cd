#pragma once

#include "agent/flow_manager.hpp"
#include "telemetry/drop_counter.hpp"

namespace cornelcross::agent {

/// @brief Metrics of an agent, as docs/METRICS.md lists them.
class AgentMetrics
{
public:
  /// @brief Registers all metrics. Gauges read aFlowManager at each scrape.
  AgentMetrics(telemetry::Metrics& aMetrics, FlowManager& aFlowManager);

  /// @brief Counts an event in the counter of its kind.
  void recordEvent(const telemetry::Event& aEvent);

  /// @brief Counts a read of the upstream's record.
  void recordRecordRead(bool aIsAnswered);

  /// @brief Counts a dropped datagram.
  void recordDrop(std::string_view aReason) { mDrops.count(aReason); }

private:
  telemetry::DropCounter mDrops;
  prometheus::Counter& mOpened;
  prometheus::Counter& mClosed;
  prometheus::Counter& mRefused;
  prometheus::Counter& mAdopted;
  prometheus::Counter& mAnsweredReads;
  prometheus::Counter& mFailedReads;
};

} // namespace cornelcross::agent
