#include "tools/timeline/log_event.hpp"

#include <charconv>

namespace cornelcross::tools::timeline {

namespace {

using Field = std::pair<std::string, std::string>;

/// Parses a value, quoted or not, and removes the value from the start of aText. Empty if a quoted
/// value has no closing quote.
std::optional<std::string> parseValue(std::string_view& aText)
{
  if (aText.empty() || aText.front() != '"') {
    const auto end = std::min(aText.find(' '), aText.size());
    std::string value(aText.substr(0, end));
    aText.remove_prefix(end);
    return value;
  }
  std::string value;
  for (std::size_t i = 1; i < aText.size(); ++i) {
    if (aText[i] == '"') {
      aText.remove_prefix(i + 1);
      return value;
    }
    if (aText[i] == '\\' && i + 1 < aText.size()) {
      ++i;
    }
    value += aText[i];
  }
  return std::nullopt;
}

/// Parses NAME=VALUE and removes the field and the blanks that follow from the start of aText.
/// Empty if the text has no such field.
std::optional<Field> parseField(std::string_view& aText)
{
  const auto equals = aText.find('=');
  const auto space = aText.find(' ');
  if (equals == std::string_view::npos || equals == 0 || space < equals) {
    return std::nullopt;
  }
  std::string name(aText.substr(0, equals));
  aText.remove_prefix(equals + 1);
  auto value = parseValue(aText);
  if (!value) {
    return std::nullopt;
  }
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  return Field{ std::move(name), std::move(*value) };
}

} // namespace

const std::string* LogEvent::field(std::string_view aName) const
{
  for (const auto& [name, value] : mFields) {
    if (name == aName) {
      return &value;
    }
  }
  return nullptr;
}

std::string LogEvent::flow() const
{
  if (const std::string* key = field("flow")) {
    return *key;
  }
  const std::string* caller = field("caller");
  const std::string* service = field("service");
  return caller != nullptr && service != nullptr ? *caller + ">" + *service : std::string();
}

std::optional<LogEvent> LogEvent::parse(std::string_view aLine)
{
  LogEvent event;
  bool hasTime = false;
  while (!aLine.empty()) {
    auto field = parseField(aLine);
    if (!field) {
      return std::nullopt;
    }
    const std::string& value = field->second;
    if (field->first == "time_us") {
      const char* end = value.data() + value.size();
      const auto parsed = std::from_chars(value.data(), end, event.mTimeUs);
      hasTime = parsed.ec == std::errc{} && parsed.ptr == end;
    } else if (field->first == "process") {
      event.mProcess = value;
    } else if (field->first == "event") {
      event.mKind = value;
    } else {
      event.mFields.push_back(std::move(*field));
    }
  }
  if (!hasTime || event.mProcess.empty() || event.mKind.empty()) {
    return std::nullopt;
  }
  return event;
}

} // namespace cornelcross::tools::timeline
