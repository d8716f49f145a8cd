#pragma once

#include <cstddef>
#include <string>

namespace cornelcross::config {

/// @brief Largest number of arrays and objects within each other in JSON text that is parsed.
inline constexpr std::size_t kMaxNesting = 32;

/// @brief True if JSON text has more than aMaxLevels arrays and objects within each other. Of
/// invalid JSON, the result is unspecified.
bool isNestedDeeperThan(const std::string& aText, std::size_t aMaxLevels);

} // namespace cornelcross::config
