#pragma once

#include <compare>
#include <map>
#include <string>

namespace cornelcross::tools::check {

/// @brief Distribution of the new flows of one service before and after a change.
struct ServiceChange
{
  std::string mService;
  double mMovedShare = 0; ///< share of new flows whose first upstream changes, 0 to 1
  std::map<std::string, double> mSharesBefore; ///< share of new flows by upstream, 0 to 1
  std::map<std::string, double> mSharesAfter;  ///< share of new flows by upstream, 0 to 1

  auto operator<=>(const ServiceChange&) const = default;
};

} // namespace cornelcross::tools::check
