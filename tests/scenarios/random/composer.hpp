#pragma once

#include <cstdint>
#include <string>

namespace cornelcross::scenarios {

/// @brief Composes a script of overlapping faults and configuration changes from a seed. Equal
/// seeds give equal scripts on every platform. Each fault ends before the script does, and the
/// faults that overlap always leave callers a balancer and an upstream.
std::string composeScript(std::uint64_t aSeed);

} // namespace cornelcross::scenarios
