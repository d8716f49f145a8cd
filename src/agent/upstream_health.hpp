#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace cornelcross::agent {

/// @brief Passive health check of the upstream: detects that the upstream leaves SYNs unanswered or
/// refuses them, because its process has ended or is starting. While the upstream is down, it gets
/// one new flow per second to detect its recovery, and all other new flows go to other candidates.
/// Deterministic: each call gets the time.
class UpstreamHealth
{
public:
  /// @brief True if a new flow may be delivered to the upstream now.
  bool acceptsNewFlows(base::Time aNow) const;

  /// @brief Records that a SYN was delivered to the upstream.
  void recordSyn(base::Time aNow);

  /// @brief Records that the upstream accepted a SYN.
  void recordSynAck();

  /// @brief Records that the upstream answered a SYN with RST.
  void recordRefusal(base::Time aNow);

  /// @brief True if the upstream refuses SYNs or leaves them unanswered.
  bool isDown(base::Time aNow) const;

private:
  std::uint32_t mUnansweredSyns = 0; ///< SYNs since the last accepted SYN
  base::Time mFirstUnansweredSynAt;  ///< delivery of the first unanswered SYN
  base::Time mLastSynAt;
  bool mIsRefusing = false;
};

} // namespace cornelcross::agent
