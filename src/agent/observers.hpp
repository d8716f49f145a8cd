#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>

namespace cornelcross::agent {

/// @brief Told what an agent measures. Each may be empty.
struct Observers
{
  std::function<void(base::Duration)> mOnAccepted; ///< from admission to the upstream's SYN-ACK
  std::function<void(base::Duration)> mOnAnswered; ///< from a request to its answer's first payload
  std::function<void(std::uint8_t)> mOnSettled;    ///< agents that a new flow visited until it was
                                                   ///< admitted or refused
};

} // namespace cornelcross::agent
