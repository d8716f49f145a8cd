#include "telemetry/event_log.hpp"

#include <easylogging++.h>

#include <algorithm>
#include <chrono>
#include <poll.h>
#include <string_view>
#include <unistd.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace cornelcross::telemetry {

namespace {

/// Longest value in a line, in bytes. An event has few fields, of which one may be text from
/// outside, so that a line stays below PIPE_BUF.
constexpr std::size_t kMaxValueBytes = 512;

bool isControl(char aCharacter)
{
  return static_cast<unsigned char>(aCharacter) < ' ' || aCharacter == '\x7f';
}

} // namespace

std::string quote(const std::string& aValue)
{
  const auto needsQuotes = [](char aCharacter) {
    return isControl(aCharacter) ||
           std::string_view(" \"=\\").find(aCharacter) != std::string_view::npos;
  };
  if (!aValue.empty() && std::none_of(aValue.begin(), aValue.end(), needsQuotes)) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += isControl(character) ? ' ' : character;
  }
  return quoted + '"';
}

std::uint64_t wallClockMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

EventLog::EventLog(std::string aProcess, std::uint32_t aLinesPerSecond)
  : mProcess(std::move(aProcess)), mBudget(aLinesPerSecond)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

std::string EventLog::format(std::uint64_t aTimeUs,
                             const std::string& aProcess,
                             const Event& aEvent)
{
  std::string line = "time_us=" + std::to_string(aTimeUs) + " process=" + quote(aProcess);
  line += " event=";
  line += toString(aEvent.mKind);
  for (const auto& [name, value] : aEvent.mFields) {
    const bool isLong = value.size() > kMaxValueBytes;
    line.append(" ").append(name).append("=").append(
      quote(isLong ? value.substr(0, kMaxValueBytes) + "..." : value));
  }
  return line;
}

void EventLog::write(const Event& aEvent) const
{
  const base::Time now =
    std::chrono::time_point_cast<base::Duration>(std::chrono::steady_clock::now());
  if (!mBudget.admit(now, aEvent.mKind)) {
    return;
  }
  if (const auto suppressed = mBudget.takeSuppressedLines(now)) {
    writeLine({ EventKind::kLogSuppressed, { { "lines", std::to_string(*suppressed) } } });
  }
  writeLine(aEvent);
}

// A write of up to PIPE_BUF bytes to a pipe that poll() reports as writable does not block, and a
// line is shorter than PIPE_BUF.
void EventLog::writeLine(const Event& aEvent) const
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  if (poll(&output, 1, 0) == 0) {
    mBudget.recordDroppedLine();
    return;
  }
  LOG(INFO) << format(wallClockMicroseconds(), mProcess, aEvent);
}

} // namespace cornelcross::telemetry
