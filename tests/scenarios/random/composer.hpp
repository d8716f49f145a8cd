#pragma once

#include <cstdint>
#include <string>

namespace cornelcross::scenarios {

/// @brief Composes a script of overlapping faults and changes from a seed. The same seed gives the
/// same script everywhere. Nothing is left broken at its end, and nothing breaks twice at once that
/// would leave callers without any balancer or upstream.
std::string composeScript(std::uint64_t aSeed);

} // namespace cornelcross::scenarios
