#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace cornelcross::agent {

/// @brief Settings of keep-alive probes.
struct KeepAliveSettings
{
  base::Duration mInterval = std::chrono::seconds(120);      ///< of silence before each probe
  base::Duration mSilenceTimeout = std::chrono::minutes(10); ///< before both sides are reset
  std::uint32_t mMaxProbesPerTick = 100;

  auto operator<=>(const KeepAliveSettings&) const = default;
};

} // namespace cornelcross::agent
