#pragma once

#include <compare>
#include <string>

namespace cornelcross::config {

/// @brief One error in a document or in settings.
struct ConfigError
{
  std::string mPath;     ///< location, such as "service/logbook.upstreams[2].slots"
  std::string mExpected; ///< description of the valid content, such as "a non-empty string"

  auto operator<=>(const ConfigError&) const = default;

  /// @brief The text "PATH: expected EXPECTED".
  std::string toString() const { return mPath + ": expected " + mExpected; }
};

} // namespace cornelcross::config
