#pragma once

#include "telemetry/event.hpp"

#include <cstdint>

namespace cornelcross::telemetry {

/// @brief Selects the flows to log by a hash of the flow, so that all processes select the same
/// flows.
class FlowSampler
{
public:
  /// @param aInterval selects one flow in aInterval on average; 0 selects none
  explicit FlowSampler(std::uint32_t aInterval) : mInterval(aInterval) {}

  /// @brief True if the event is about a selected flow, or is of a kind that is not sampled.
  bool isSampled(const Event& aEvent) const;

  /// @brief True if the flow is selected.
  /// @param aFlow flow in the form "CALLER>SERVICE"
  bool isSampled(const std::string& aFlow) const;

private:
  std::uint32_t mInterval;
};

} // namespace cornelcross::telemetry
