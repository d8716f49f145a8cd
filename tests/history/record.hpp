#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// @brief Checks the guarantees of the load balancer on the log records of a run.
namespace cornelcross::history {

/// @brief A line of a log: time, process, event and fields.
struct Record
{
  std::uint64_t mTime = 0; ///< microseconds since the epoch
  std::string mProcess;
  std::string mEvent;
  std::map<std::string, std::string> mFields;

  auto operator<=>(const Record&) const = default;

  /// @brief Returns the value of a field; empty if the field is absent.
  std::string field(const std::string& aName) const;

  /// @brief Returns the value of a field as a number; 0 if the field is absent or not a number.
  std::uint64_t number(const std::string& aName) const;

  /// @brief Parses a line of key=value pairs.
  /// @return std::nullopt unless the line has a time, a process and an event
  static std::optional<Record> parse(const std::string& aLine);
};

} // namespace cornelcross::history
