#pragma once

#include "telemetry/event.hpp"
#include "telemetry/log_budget.hpp"

#include <cstdint>

namespace cornelcross::telemetry {

/// @brief Value of a field as a log line holds it: quoted if it has spaces, quotes or '='.
std::string quote(const std::string& aValue);

/// @brief Wall clock in microseconds since the epoch.
std::uint64_t wallClockMicroseconds();

/// @brief Writes events to standard output, one line of key=value pairs each:
/// wall clock (us since the epoch), process, event, then the event's fields.
class EventLog
{
public:
  /// @brief Lines of single flows a second. A line costs about 10 us, so that a storm of refusals
  /// takes 0.2% of a core.
  static constexpr std::uint32_t kLinesPerSecond = 200;

  /// @param aProcess        name of this process in every line
  /// @param aLinesPerSecond see LogBudget
  explicit EventLog(std::string aProcess, std::uint32_t aLinesPerSecond = kLinesPerSecond);

  /// @brief Writes one line within the budget. Values with spaces, quotes or '=' are quoted. Never
  /// waits: a line that standard output can't take now is counted and lost.
  void write(const Event& aEvent) const;

  /// @brief The line without its end.
  static std::string format(std::uint64_t aMicroseconds,
                            const std::string& aProcess,
                            const Event& aEvent);

private:
  void writeLine(const Event& aEvent) const;

  std::string mProcess;
  mutable LogBudget mBudget;
};

} // namespace cornelcross::telemetry
