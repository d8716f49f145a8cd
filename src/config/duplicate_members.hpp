#pragma once

#include <string>
#include <vector>

namespace cornelcross::config {

/// @brief Names that stand more than once in one object of a JSON text, in the order of the text;
/// empty if there are none or the text isn't JSON. @note O(n log n)
std::vector<std::string> findRepeatedNames(const std::string& aText);

} // namespace cornelcross::config
