#pragma once

#include "telemetry/event.hpp"

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
  /// @param aProcess name of this process in every line
  explicit EventLog(std::string aProcess);

  /// @brief Writes one line. Values with spaces, quotes or '=' are quoted.
  void write(const Event& aEvent) const;

  /// @brief The line without its end.
  static std::string format(std::uint64_t aMicroseconds,
                            const std::string& aProcess,
                            const Event& aEvent);

private:
  std::string mProcess;
};

} // namespace cornelcross::telemetry
