#include "base/settings_validator.hpp"
#include "tools/timeline/filter.hpp"
#include "tools/timeline/svg_view.hpp"
#include "tools/timeline/text_view.hpp"

#include <charconv>
#include <cmath>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(flow, "", "[Filter] show only these flows: comma-separated CALLER>SERVICE or CALLER");
DEFINE_string(upstream, "", "[Filter] show only events of these upstreams, comma-separated");
DEFINE_string(zone, "", "[Filter] show only events of these availability zones, comma-separated");
DEFINE_string(kind, "", "[Filter] show only these kinds of events, comma-separated");
DEFINE_string(process, "", "[Filter] show only these processes, comma-separated");
DEFINE_double(from,
              0,
              "[Filter] show only events at least this many seconds after the first event");
DEFINE_double(
  to,
  -1,
  "[Filter] show only events at most this many seconds after the first event; no limit if below 0");
DEFINE_string(offset,
              "",
              "[Clocks] microseconds by which clocks are ahead: PROCESS=US, comma-separated");
DEFINE_string(svg, "", "[Output] write an SVG picture to this file instead of printing text");

namespace {

using namespace cornelcross;
using namespace cornelcross::tools::timeline;

const std::string kUsage =
  "Merges the logs of all processes into one time line.\n"
  "Usage: cornelcross-timeline [FLAG...] FILE...   (\"-\" is standard input)\n"
  "Exit codes: 0 done, 1 a file cannot be read or written, 2 bad usage.";

std::set<std::string> splitList(const std::string& aText)
{
  std::set<std::string> items;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    items.insert(item);
  }
  return items;
}

std::map<std::string, std::int64_t> parseOffsets(base::SettingsValidator& aValidator)
{
  std::map<std::string, std::int64_t> offsets;
  for (const std::string& item : splitList(FLAGS_offset)) {
    const auto equals = item.rfind('=');
    const char* end = item.data() + item.size();
    const char* digits = equals == std::string::npos ? end : item.data() + equals + 1;
    std::int64_t value = 0;
    const auto parsed = std::from_chars(digits, end, value);
    const bool isValid =
      equals != 0 && digits != end && parsed.ec == std::errc{} && parsed.ptr == end;
    aValidator.require(isValid, "--offset: expected PROCESS=MICROSECONDS, found \"" + item + "\"");
    if (isValid) {
      offsets[item.substr(0, equals)] = value;
    }
  }
  return offsets;
}

/// Appends the events of a stream. Returns the number of non-empty lines that are not events.
std::size_t readEvents(std::istream& aStream, std::vector<LogEvent>& aEvents)
{
  std::size_t ignoredLines = 0;
  for (std::string line; std::getline(aStream, line);) {
    if (auto event = LogEvent::parse(line)) {
      aEvents.push_back(std::move(*event));
    } else if (!line.empty()) {
      ++ignoredLines;
    }
  }
  return ignoredLines;
}

/// Appends the events of all files. Returns false if a file cannot be read.
bool readFiles(const std::vector<std::string>& aFiles, std::vector<LogEvent>& aEvents)
{
  bool isComplete = true;
  for (const std::string& name : aFiles) {
    std::ifstream file(name);
    if (name != "-" && !file) {
      std::cerr << "error: " << name << ": cannot be read\n";
      isComplete = false;
      continue;
    }
    const std::size_t ignoredLines = readEvents(name == "-" ? std::cin : file, aEvents);
    if (ignoredLines > 0) {
      std::cerr << "warning: " << name << ": " << ignoredLines << " lines are not events\n";
    }
  }
  return isComplete;
}

std::int64_t toMicroseconds(double aSeconds)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  return std::llround(aSeconds * kMicrosecondsPerSecond);
}

Filter makeFilter(std::int64_t aStartUs)
{
  Filter filter{ splitList(FLAGS_flow), splitList(FLAGS_upstream), splitList(FLAGS_zone),
                 splitList(FLAGS_kind), splitList(FLAGS_process),  std::nullopt,
                 std::nullopt };
  if (FLAGS_from > 0) {
    filter.mFromUs = aStartUs + toMicroseconds(FLAGS_from);
  }
  if (FLAGS_to >= 0) {
    filter.mToUs = aStartUs + toMicroseconds(FLAGS_to);
  }
  return filter;
}

bool writeSvg(const std::vector<LogEvent>& aEvents)
{
  std::ofstream file(FLAGS_svg);
  file << toSvg(aEvents);
  file.close();
  if (!file) {
    std::cerr << "error: " << FLAGS_svg << ": cannot be written\n";
  }
  return static_cast<bool>(file);
}

void writeText(const ClockOffsets& aOffsets,
               const std::vector<LogEvent>& aEvents,
               std::int64_t aStartUs)
{
  std::cout << offsetsToText(aOffsets);
  for (const LogEvent& event : aEvents) {
    std::cout << toText(event, aStartUs) << '\n';
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, kUsage));
  const auto userOffsetsUs = parseOffsets(validator);
  validator.require(aArgc > 1, "expected at least one file");
  validator.require(FLAGS_to < 0 || FLAGS_to >= FLAGS_from,
                    "--to: expected a value of at least --from");
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  std::vector<LogEvent> events;
  if (!readFiles({ aArgv + 1, aArgv + aArgc }, events)) {
    return 1;
  }
  const ClockOffsets offsets = estimateOffsets(events, findCausalPairs(events), userOffsetsUs);
  const std::vector<LogEvent> ordered = correctTimes(std::move(events), offsets);
  const std::int64_t startUs = ordered.empty() ? 0 : ordered.front().mTimeUs;
  const std::vector<LogEvent> shown = applyFilter(ordered, makeFilter(startUs));
  if (!FLAGS_svg.empty()) {
    return writeSvg(shown) ? 0 : 1;
  }
  writeText(offsets, shown, startUs);
  return 0;
}
