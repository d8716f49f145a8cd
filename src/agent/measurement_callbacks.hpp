#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>

namespace cornelcross::agent {

/// @brief Told what an agent measures. Each may be empty.
struct MeasurementCallbacks
{
  std::function<void(base::Duration)> mOnFlowAccepted; ///< from admission to the upstream's SYN-ACK
  std::function<void(base::Duration)>
    mOnRequestAnswered; ///< from a request to its answer's first payload
  std::function<void(std::uint8_t)> mOnPlacementDecided; ///< agents that a new flow visited until
                                                         ///< it was admitted or refused
};

} // namespace cornelcross::agent
