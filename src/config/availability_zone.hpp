#pragma once

#include <cstdint>
#include <string>

namespace cornelcross::config {

/// @brief An availability zone and its operational state, as operators declare it.
struct AvailabilityZone
{
  std::string mName;
  bool mIsInService = true;

  /// The zone is out of service, but established flows may complete their requests.
  bool mIsDraining = false;

  /// Wall clock since which no new flow has entered the zone; 0 if unknown.
  std::uint64_t mOutSinceMs = 0;

  auto operator<=>(const AvailabilityZone&) const = default;
};

} // namespace cornelcross::config
