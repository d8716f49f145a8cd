#include "history/record.hpp"

#include <charconv>

namespace cornelcross::history {

namespace {

/// Reads the value at aAt and moves aAt past the value. A value ends at a space or is quoted, with
/// backslash escapes.
std::string readValue(const std::string& aLine, std::size_t& aAt)
{
  std::string value;
  if (aAt >= aLine.size() || aLine[aAt] != '"') {
    const std::size_t end = std::min(aLine.find(' ', aAt), aLine.size());
    value = aLine.substr(aAt, end - aAt);
    aAt = end;
    return value;
  }
  for (++aAt; aAt < aLine.size() && aLine[aAt] != '"'; ++aAt) {
    if (aLine[aAt] == '\\' && aAt + 1 < aLine.size()) {
      ++aAt;
    }
    value += aLine[aAt];
  }
  ++aAt;
  return value;
}

std::string extractField(std::map<std::string, std::string>& aFields, const std::string& aName)
{
  auto node = aFields.extract(aName);
  return node.empty() ? "" : node.mapped();
}

std::uint64_t toNumber(const std::string& aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

} // namespace

std::string Record::field(const std::string& aName) const
{
  const auto found = mFields.find(aName);
  return found == mFields.end() ? "" : found->second;
}

std::uint64_t Record::number(const std::string& aName) const
{
  return toNumber(field(aName));
}

std::optional<Record> Record::parse(const std::string& aLine)
{
  Record record;
  std::size_t at = 0;
  while (at < aLine.size()) {
    const std::size_t equals = aLine.find('=', at);
    if (equals == std::string::npos) {
      break;
    }
    const std::string name = aLine.substr(at, equals - at);
    at = equals + 1;
    record.mFields[name] = readValue(aLine, at);
    ++at;
  }
  record.mTime = toNumber(extractField(record.mFields, "time_us"));
  record.mProcess = extractField(record.mFields, "process");
  record.mEvent = extractField(record.mFields, "event");
  const bool isComplete = record.mTime > 0 && !record.mProcess.empty() && !record.mEvent.empty();
  return isComplete ? std::optional(record) : std::nullopt;
}

} // namespace cornelcross::history
