#pragma once

#include <compare>
#include <string>

namespace cornelcross::config {

/// @brief One fault of a document.
struct ConfigError
{
  std::string mPath;     ///< where: "service/logbook.upstreams[2].slots"
  std::string mExpected; ///< what was expected there

  auto operator<=>(const ConfigError&) const = default;

  std::string toString() const { return mPath + ": expected " + mExpected; }
};

} // namespace cornelcross::config
