#pragma once

#include "tools/timeline/causal_pair.hpp"

#include <map>
#include <optional>

namespace cornelcross::tools::timeline {

/// @brief How far the clock of one process is ahead, in microseconds.
struct ClockOffset
{
  std::int64_t mOffset = 0;            ///< to subtract from the process's times
  std::optional<std::int64_t> mLowest; ///< bounds that causal pairs give, if any
  std::optional<std::int64_t> mHighest;
  bool mIsGiven = false; ///< set by hand

  auto operator<=>(const ClockOffset&) const = default;
};

/// @brief Offsets of all processes.
struct ClockOffsets
{
  std::map<std::string, ClockOffset> mByProcess;
  std::int64_t mSlack = 0; ///< microseconds by which an effect may still precede its cause

  auto operator<=>(const ClockOffsets&) const = default;
};

/// @brief Estimates the offset of each process's clock: the clocks that contradict no causal pair
/// stay, the others go to the middle of what the pairs allow.
/// @param aGiven offsets set by hand, in microseconds
/// @note O(p^3) for p processes
ClockOffsets estimateOffsets(const std::vector<LogEvent>& aEvents,
                             const std::vector<CausalPair>& aPairs,
                             const std::map<std::string, std::int64_t>& aGiven);

/// @brief Subtracts the offsets and orders the events by time.
std::vector<LogEvent> correctTimes(std::vector<LogEvent> aEvents, const ClockOffsets& aOffsets);

} // namespace cornelcross::tools::timeline
