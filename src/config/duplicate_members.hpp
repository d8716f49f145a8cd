#pragma once

#include <string>
#include <vector>

namespace cornelcross::config {

/// @brief Finds names that occur more than once in one object of a JSON text, in the order of the
/// text. The result lacks duplicates that follow a syntax error. @note O(n log n)
std::vector<std::string> findDuplicateMembers(const std::string& aText);

} // namespace cornelcross::config
