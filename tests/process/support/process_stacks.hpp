#pragma once

#include <string>

namespace cornelcross::test {

/// @brief State and stack of each thread of a process, as far as the kernel and an installed
/// debugger state them; for the report of a process that does not run on.
std::string stacksOf(const std::string& aProcessId);

} // namespace cornelcross::test
