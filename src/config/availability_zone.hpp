#pragma once

#include <string>

namespace cornelcross::config {

/// @brief An availability zone and whether operators have taken it out.
struct AvailabilityZone
{
  std::string mName;
  bool mIsIn = true;
  bool mIsClosing = false; ///< out, but established flows may end what they have begun

  auto operator<=>(const AvailabilityZone&) const = default;
};

} // namespace cornelcross::config
