#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::config {

/// @brief What an upstream of a service bears after each of its starts, as operators state it.
struct ColdStart
{
  std::uint32_t mDurationMs = 0; ///< length of a cold start
  std::uint32_t mMaxNewFlowsPerSecond =
    0; ///< new flows that a cold upstream takes; 0 if not stated

  auto operator<=>(const ColdStart&) const = default;
};

} // namespace cornelcross::config
