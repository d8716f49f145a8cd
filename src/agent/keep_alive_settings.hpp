#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace cornelcross::agent {

/// @brief Settings of KeepAliveProber.
struct KeepAliveSettings
{
  base::Duration mInterval = std::chrono::seconds(120);      ///< silence before each probe
  base::Duration mSilenceTimeout = std::chrono::minutes(10); ///< silence before both ends are reset
  std::uint32_t mMaxProbedFlowsPerRound = 100;

  auto operator<=>(const KeepAliveSettings&) const = default;
};

} // namespace cornelcross::agent
