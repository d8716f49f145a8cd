#pragma once

#include <string>

namespace cornelcross::fakes {

/// @brief Digest (XXH3, 64 bits, hexadecimal) by which the records compare answers.
std::string digestOf(const std::string& aData);

} // namespace cornelcross::fakes
