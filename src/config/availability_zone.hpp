#pragma once

#include <cstdint>
#include <string>

namespace cornelcross::config {

/// @brief An availability zone and whether operators have taken it out.
struct AvailabilityZone
{
  std::string mName;
  bool mIsInService = true;
  bool mIsDraining = false;      ///< out, but established flows may end what they have begun
  std::uint64_t mOutSinceMs = 0; ///< wall clock from which it has had no new flow; 0 if not known

  auto operator<=>(const AvailabilityZone&) const = default;
};

} // namespace cornelcross::config
