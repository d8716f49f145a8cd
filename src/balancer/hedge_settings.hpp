#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace cornelcross::balancer {

/// @brief Upper bound of HedgeSettings::mPercent.
inline constexpr std::uint32_t kMaxHedgePercent = 20;

/// @brief Settings of hedged connection attempts.
struct HedgeSettings
{
  /// Maximum number of hedged attempts as a percentage of the connection attempts; 0 disables them.
  std::uint32_t mPercent = 0;

  base::Duration mMinDelay = std::chrono::milliseconds(20);

  /// A caller retransmits its SYN after 200 ms on the platform and after 1 s by RFC 6298.
  base::Duration mMaxDelay = std::chrono::milliseconds(150);

  auto operator<=>(const HedgeSettings&) const = default;
};

} // namespace cornelcross::balancer
