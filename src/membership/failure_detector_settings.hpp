#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace cornelcross::membership {

/// @brief Settings of a FailureDetector.
struct FailureDetectorSettings
{
  /// Time without a reply of a peer in use before its first probe.
  base::Duration mSilenceBeforeProbe = std::chrono::seconds(1);

  /// Interval between probes until the peer is suspected and all pairs of ports have been tried.
  base::Duration mProbeTimeout = std::chrono::milliseconds(250);

  /// Number of successive unanswered probes after which a peer is suspected.
  std::uint32_t mMaxUnansweredProbes = 3;

  /// Interval between further probes of a suspected peer.
  base::Duration mSuspectProbeInterval = std::chrono::seconds(1);

  /// Duration of a suspicion after which a peer is unreachable.
  base::Duration mUnreachableAfter = std::chrono::seconds(60);

  /// Time without use after which a peer is removed.
  base::Duration mUnusedTimeout = std::chrono::seconds(30);

  /// Gap between two selections of peers to probe that counts as a pause of the process.
  base::Duration mPauseThreshold = std::chrono::seconds(1);

  std::uint32_t mMaxProbesPerSecond = 100;

  auto operator<=>(const FailureDetectorSettings&) const = default;
};

} // namespace cornelcross::membership
