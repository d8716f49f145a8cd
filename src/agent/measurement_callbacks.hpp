#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>

namespace cornelcross::agent {

/// @brief Functions that receive an agent's measurements. Each may be empty.
struct MeasurementCallbacks
{
  /// Gets the time from a flow's admission to the upstream's SYN-ACK.
  std::function<void(base::Duration)> mOnFlowAccepted;

  /// Gets the time from a request to the first payload of its response.
  std::function<void(base::Duration)> mOnRequestAnswered;

  /// Gets the number of agents that a new flow visited until its admission or refusal.
  std::function<void(std::uint8_t)> mOnPlacementDecided;
};

} // namespace cornelcross::agent
