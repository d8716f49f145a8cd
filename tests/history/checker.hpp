#pragma once

#include "history/history.hpp"
#include "history/violation.hpp"

namespace cornelcross::history {

/// @brief "A few seconds" and "within seconds": 5 s, in microseconds.
inline constexpr std::uint64_t kBound = 5'000'000;

/// @brief Decides from the records alone what of the ten points was broken; empty if nothing.
/// @note O(n log n) for n records, with the number of processes as a further factor
std::vector<Violation> check(const History& aHistory);

} // namespace cornelcross::history
