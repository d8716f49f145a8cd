#pragma once

#include <compare>
#include <map>
#include <string>

namespace cornelcross::tools::check {

/// @brief Where the new flows of one service go before and after a change.
struct ServiceChange
{
  std::string mService;
  double mMovedShare = 0; ///< of new flows whose first upstream differs, 0 to 1
  std::map<std::string, double> mSharesBefore; ///< of new flows by upstream, 0 to 1
  std::map<std::string, double> mSharesAfter;

  auto operator<=>(const ServiceChange&) const = default;
};

} // namespace cornelcross::tools::check
