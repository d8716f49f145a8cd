#pragma once

#include "tools/timeline/causal_pair.hpp"

#include <map>
#include <optional>

namespace cornelcross::tools::timeline {

/// @brief Estimated offset of the clock of one process.
struct ClockOffset
{
  std::int64_t mOffsetUs = 0; ///< subtracted from the times of the process; positive if ahead
  std::optional<std::int64_t> mLowestUs;  ///< lower bound by causal pairs, if any
  std::optional<std::int64_t> mHighestUs; ///< upper bound by causal pairs, if any
  bool mIsUserSupplied = false;

  auto operator<=>(const ClockOffset&) const = default;
};

/// @brief Offsets of the clocks of all processes.
struct ClockOffsets
{
  std::map<std::string, ClockOffset> mByProcess;
  std::int64_t mSlackUs = 0; ///< longest time by which a corrected effect may precede its cause

  auto operator<=>(const ClockOffsets&) const = default;
};

/// @brief Estimates the offset of the clock of each process. A clock that contradicts no causal
/// pair keeps the offset 0. Another clock gets the middle of the range that the pairs allow.
/// @param aUserOffsetsUs user-supplied offsets by process
/// @note O(p^3) for p processes
ClockOffsets estimateOffsets(const std::vector<LogEvent>& aEvents,
                             const std::vector<CausalPair>& aPairs,
                             const std::map<std::string, std::int64_t>& aUserOffsetsUs);

/// @brief Subtracts the offsets from the times of the events and sorts the events by time.
std::vector<LogEvent> correctTimes(std::vector<LogEvent> aEvents, const ClockOffsets& aOffsets);

} // namespace cornelcross::tools::timeline
