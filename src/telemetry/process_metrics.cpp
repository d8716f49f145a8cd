#include "telemetry/process_metrics.hpp"

#include <fstream>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <sys/resource.h>
#include <unistd.h>

namespace cornelcross::telemetry {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double processorSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
  const auto microseconds = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return static_cast<double>(seconds) + static_cast<double>(microseconds) / kMicrosecondsPerSecond;
}

double residentBytes()
{
  // The second field of statm is the resident set size in pages, see proc(5).
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

void registerProcessMetrics(Metrics& aMetrics, const std::string& aRole)
{
  aMetrics
    .gauge("cornelcross_build_info",
           "1, labelled with version and role",
           { { "version", CORNELCROSS_VERSION }, { "role", aRole } })
    .Set(1);
  aMetrics.gauge("process_start_time_seconds", "Start of the process, seconds since the epoch")
    .SetToCurrentTime();
  auto& processor =
    aMetrics.counter("process_cpu_seconds_total", "Processor time of the process, user and system");
  auto& memory = aMetrics.gauge("process_resident_memory_bytes", "Resident memory of the process");
  aMetrics.onExpose([&processor, &memory] {
    raiseCounterTo(processor, processorSeconds());
    memory.Set(residentBytes());
  });
}

} // namespace cornelcross::telemetry
