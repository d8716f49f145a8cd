#pragma once

#include "telemetry/event.hpp"
#include "telemetry/log_budget.hpp"

#include <cstdint>

namespace cornelcross::telemetry {

/// @brief Formats the value of a field for a log line. Quotes a value that is empty or contains
/// white space, a quotation mark, '=' or a backslash; escapes quotation marks and backslashes;
/// replaces a line feed by a space.
std::string quote(const std::string& aValue);

/// @brief Returns the wall clock in microseconds since the epoch.
std::uint64_t wallClockMicroseconds();

/// @brief Writes each event to standard output as a line of key=value pairs: wall clock in
/// microseconds since the epoch, process, event, and the fields of the event.
class EventLog
{
public:
  /// @brief Default limit on lines about single flows per second. A line costs about 10 us, so a
  /// burst of refused flows takes 0.2% of a core.
  static constexpr std::uint32_t kMaxLinesPerSecond = 200;

  /// @param aProcess        name of this process in each line
  /// @param aLinesPerSecond see LogBudget
  explicit EventLog(std::string aProcess, std::uint32_t aLinesPerSecond = kMaxLinesPerSecond);

  /// @brief Writes one line within the budget, with the values quoted as by quote(). Does not
  /// block: drops and counts a line that standard output does not accept at once.
  void write(const Event& aEvent) const;

  /// @brief Returns the line of an event without a line feed.
  /// @param aTimeUs wall clock in microseconds since the epoch
  static std::string format(std::uint64_t aTimeUs,
                            const std::string& aProcess,
                            const Event& aEvent);

private:
  void writeLine(const Event& aEvent) const;

  std::string mProcess;
  mutable LogBudget mBudget;
};

} // namespace cornelcross::telemetry
