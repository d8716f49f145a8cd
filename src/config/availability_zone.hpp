#pragma once

#include <cstdint>
#include <string>

namespace cornelcross::config {

/// @brief An availability zone and its operational state, as operators declare it.
struct AvailabilityZone
{
  std::string mName;
  bool mIsInService = true;
  bool mIsDraining = false; ///< out of service, but established flows may complete their requests
  std::uint64_t mOutSinceMs =
    0; ///< wall clock since which no new flow entered the zone; 0 if unknown

  auto operator<=>(const AvailabilityZone&) const = default;
};

} // namespace cornelcross::config
