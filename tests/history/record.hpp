#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// @brief Checks what must always hold from the records of a run alone.
namespace cornelcross::history {

/// @brief One line of a log: time, process, event and its fields.
struct Record
{
  std::uint64_t mTime = 0; ///< microseconds since the epoch
  std::string mProcess;
  std::string mEvent;
  std::map<std::string, std::string> mFields;

  auto operator<=>(const Record&) const = default;

  /// @brief Value of a field; empty if it is absent.
  std::string field(const std::string& aName) const;

  /// @brief Value of a field as a number; 0 if it is absent or no number.
  std::uint64_t number(const std::string& aName) const;

  /// @brief Parses a line of key=value pairs; empty unless it has a time, a process and an event.
  static std::optional<Record> parse(const std::string& aLine);
};

} // namespace cornelcross::history
