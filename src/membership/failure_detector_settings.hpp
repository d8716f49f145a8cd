#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace cornelcross::membership {

/// @brief Settings of a failure detector.
struct FailureDetectorSettings
{
  base::Duration mSilence = std::chrono::seconds(1); ///< without a sign of life before a probe
  base::Duration mProbeTimeout = std::chrono::milliseconds(250); ///< before the next probe
  std::uint32_t mMaxMisses = 3;                                  ///< unanswered probes that suspect
  base::Duration mSuspectInterval = std::chrono::seconds(1);     ///< between probes of a suspect
  base::Duration mDeadAfter = std::chrono::seconds(60);          ///< of suspicion
  base::Duration mForgetAfter = std::chrono::seconds(30);        ///< without a use of the peer
  base::Duration mMaxGap =
    std::chrono::seconds(1); ///< between runs of a process that is not paused
  std::uint32_t mMaxProbesPerSecond = 100;

  auto operator<=>(const FailureDetectorSettings&) const = default;
};

} // namespace cornelcross::membership
