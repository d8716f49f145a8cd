#pragma once

#include <compare>

namespace cornelcross::fakes {

/// @brief How a link treats packets.
struct LinkQuality
{
  double mLoss = 0;       ///< probability, 0 to 1
  double mDuplicate = 0;  ///< probability, 0 to 1
  unsigned mDelayMs = 0;  ///< milliseconds, one way
  unsigned mJitterMs = 0; ///< milliseconds added at random; reorders packets

  auto operator<=>(const LinkQuality&) const = default;
};

} // namespace cornelcross::fakes
