#include "telemetry/event_log.hpp"

#include <easylogging++.h>

#include <chrono>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace cornelcross::telemetry {

std::string quote(const std::string& aValue)
{
  if (!aValue.empty() && aValue.find_first_of(" \"=\\\n\t") == std::string::npos) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character == '\n' ? ' ' : character;
  }
  return quoted + '"';
}

std::uint64_t wallClockMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

EventLog::EventLog(std::string aProcess) : mProcess(std::move(aProcess))
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

std::string EventLog::format(std::uint64_t aMicroseconds,
                             const std::string& aProcess,
                             const Event& aEvent)
{
  std::string line = "time_us=" + std::to_string(aMicroseconds) + " process=" + quote(aProcess);
  line += " event=";
  line += toString(aEvent.mKind);
  for (const auto& [name, value] : aEvent.mFields) {
    line.append(" ").append(name).append("=").append(quote(value));
  }
  return line;
}

void EventLog::write(const Event& aEvent) const
{
  LOG(INFO) << format(wallClockMicroseconds(), mProcess, aEvent);
}

} // namespace cornelcross::telemetry
