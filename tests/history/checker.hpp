#pragma once

#include "history/history.hpp"
#include "history/violation.hpp"

namespace cornelcross::history {

/// @brief Bound for requirements that say "a few seconds" or "within seconds": 5 s, in
/// microseconds.
inline constexpr std::uint64_t kBound = 5'000'000;

/// @brief Checks the ten points against the records alone. @return the violations, ordered by
/// time; empty if every point holds
/// @note O(p n log n) for n records and p processes
std::vector<Violation> check(const History& aHistory);

} // namespace cornelcross::history
