#pragma once

#include "base/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace cornelcross::admission {

/// @brief Determines when an item of a queue is served.
struct QueuePosition
{
  std::size_t mWorkspace = 0; ///< workspaces of one rank take turns
  std::uint32_t mRank = 0;    ///< items of a lower rank are served first
  base::Time mExpiresAt = base::Time::max();

  auto operator<=>(const QueuePosition&) const = default;
};

} // namespace cornelcross::admission
