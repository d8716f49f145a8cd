#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::config {

/// @brief Load that each upstream of a service can take during a cold start, the period after each
/// start of the upstream. Operators declare the values.
struct ColdStart
{
  std::uint32_t mDurationMs = 0;           ///< length of a cold start; 0 if there is none
  std::uint32_t mMaxNewFlowsPerSecond = 0; ///< limit during a cold start; 0 if undeclared

  auto operator<=>(const ColdStart&) const = default;
};

} // namespace cornelcross::config
