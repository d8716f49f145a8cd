#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @brief The program cornelcross-timeline: merges the logs of all processes into one time line.
namespace cornelcross::tools::timeline {

/// @brief Event of a log line "time_us=N process=P event=E" with further fields.
struct LogEvent
{
  std::int64_t mTimeUs = 0; ///< since the epoch, by the clock of the process unless corrected
  std::string mProcess;
  std::string mKind;
  /// Names and values of the further fields, in the order of the line.
  std::vector<std::pair<std::string, std::string>> mFields;

  auto operator<=>(const LogEvent&) const = default;

  /// @brief Value of a field; nullptr if the event has no field of that name.
  const std::string* field(std::string_view aName) const;

  /// @brief Flow of the event as "caller>service"; empty if the event has no flow.
  std::string flow() const;

  /// @brief Parses a log line; empty if the line is not an event.
  static std::optional<LogEvent> parse(std::string_view aLine);
};

} // namespace cornelcross::tools::timeline
