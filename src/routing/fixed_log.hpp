#pragma once

#include <cstdint>

namespace cornelcross::routing {

/// @brief -log2(aHash / 2^64) in units of 2^-32, for a hash above zero; 64 * 2^32 for zero.
///
/// Uses integer arithmetic only, so that every VM computes the same value, independent of its
/// mathematics library.
/// The error is below 3e-6 of one unit of the logarithm.
std::uint64_t negativeLog2(std::uint64_t aHash);

} // namespace cornelcross::routing
