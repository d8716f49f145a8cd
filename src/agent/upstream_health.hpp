#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace cornelcross::agent {

/// @brief Notices that the upstream answers no SYN, or refuses them: its process is gone or is just
/// starting. New flows then go elsewhere but for one a second, which shows when it is back.
/// Deterministic: time comes with each call.
class UpstreamHealth
{
public:
  /// @brief True if a new flow may be given to the upstream now.
  bool acceptsNewFlows(base::Time aNow) const;

  /// @brief A SYN was delivered.
  void recordSyn(base::Time aNow);

  /// @brief The upstream accepted a SYN.
  void recordSynAck();

  /// @brief The upstream answered a SYN with RST.
  void recordRefusal(base::Time aNow);

  /// @brief True if new flows go elsewhere.
  bool isDown(base::Time aNow) const;

private:
  std::uint32_t mUnansweredSyns = 0; ///< SYNs since the last that was accepted
  base::Time mFirstUnansweredSynAt;  ///< when the first of them was delivered
  base::Time mLastSynAt;
  bool mIsRefusing = false;
};

} // namespace cornelcross::agent
