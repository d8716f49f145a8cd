#pragma once

#include <string>

namespace cornelcross::config {

/// @brief An availability zone and its operational state, as operators declare it.
struct AvailabilityZone
{
  std::string mName;
  bool mIsInService = true;

  /// The zone is out of service, but established flows may complete their requests.
  bool mIsDraining = false;

  auto operator<=>(const AvailabilityZone&) const = default;
};

} // namespace cornelcross::config
