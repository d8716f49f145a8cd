#pragma once

#include "base/time.hpp"
#include "telemetry/event.hpp"

#include <cstdint>
#include <optional>

namespace cornelcross::telemetry {

/// @brief Limits the lines about single flows that a process logs per second. Over the limit,
/// events of flows that open or close are suppressed first, then refusals and resets. All other
/// events, such as changes of the configuration, are always admitted.
///
/// Deterministic: the caller passes the current time to each call.
class LogBudget
{
public:
  /// @param aLinesPerSecond limit on lines about single flows per second
  explicit LogBudget(std::uint32_t aLinesPerSecond) : mLinesPerSecond(aLinesPerSecond) {}

  /// @brief Admits an event to the log, or counts it as suppressed.
  /// @return true if the event is to be logged
  bool admit(base::Time aNow, EventKind aKind);

  /// @brief Counts as suppressed an admitted line that could not be written.
  void recordDroppedLine() { ++mSuppressedLines; }

  /// @brief Returns and resets the number of suppressed lines, at most once a second; empty if no
  /// line was suppressed or less than a second has passed since the last result.
  std::optional<std::uint64_t> takeSuppressedLines(base::Time aNow);

private:
  std::uint32_t mLinesPerSecond;
  std::uint32_t mLinesWritten = 0; ///< lines since mSecondStart
  base::Time mSecondStart;
  base::Time mLastReport;
  std::uint64_t mSuppressedLines = 0;
};

} // namespace cornelcross::telemetry
