#pragma once

#include <cstddef>
#include <string>

namespace cornelcross::tools::check {

/// @brief Longest text from a file that is printed at once, in bytes of the file.
inline constexpr std::size_t kMaxPrintedBytes = 400;

/// @brief Makes text from a file fit for one line of a terminal: control characters and bytes that
/// are not UTF-8 are printed as "\xNN", and all after kMaxPrintedBytes is left out.
std::string printable(const std::string& aText);

} // namespace cornelcross::tools::check
