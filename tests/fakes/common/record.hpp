#pragma once

#include <string>
#include <utility>
#include <vector>

/// @brief Stand-ins for the systems around cornelcross. Not part of the product.
namespace cornelcross::fakes {

/// @brief Fields of one record.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// @brief Writes one key=value line to standard output, in the form of the product's logs.
void record(const std::string& aProcess, const std::string& aEvent, const Fields& aFields);

} // namespace cornelcross::fakes
