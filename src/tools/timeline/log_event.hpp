#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @brief cornelcross-timeline: merges the logs of all processes into one time line.
namespace cornelcross::tools::timeline {

/// @brief One line of a log: time_us=N process=P event=E and further fields.
struct LogEvent
{
  std::int64_t mTime = 0; ///< microseconds since the epoch; by the process's clock until corrected
  std::string mProcess;
  std::string mKind;
  std::vector<std::pair<std::string, std::string>> mFields; ///< in the order of the line

  auto operator<=>(const LogEvent&) const = default;

  /// @brief Value of a field; nullptr if the event doesn't have it.
  const std::string* field(std::string_view aName) const;

  /// @brief Flow that the event is about as "caller>service"; empty if there is none.
  std::string flow() const;

  /// @brief Parses a line; empty if it isn't an event.
  static std::optional<LogEvent> parse(std::string_view aLine);
};

} // namespace cornelcross::tools::timeline
