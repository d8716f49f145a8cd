#pragma once

#include "base/time.hpp"

#include <deque>

namespace cornelcross::agent {

/// @brief Limits new flows to an upstream that alternates between down and up: after more than
/// three recoveries within 30 s it gets at most one new flow per second for 5 s after it was last
/// down. Deterministic: each call gets the time.
class FlapDetector
{
public:
  /// @brief Records that the upstream is up after it was down.
  /// @return true if the limit begins
  bool recordRecovery(base::Time aNow);

  /// @brief Records a new flow that was delivered to the upstream.
  void recordFlow(base::Time aNow) { mLastFlowAt = aNow; }

  /// @brief True while the upstream counts as flapping.
  bool isFlapping(base::Time aNow) const;

  /// @brief True if a new flow may be delivered to the upstream now.
  bool acceptsNewFlows(base::Time aNow) const;

private:
  std::deque<base::Time> mRecoveries; ///< the last four, oldest first
  base::Time mLastFlowAt;
};

} // namespace cornelcross::agent
