#include "fakes/common/record.hpp"

#include <chrono>
#include <cstdio>

namespace cornelcross::fakes {

void record(const std::string& aProcess, const std::string& aEvent, const Fields& aFields)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  std::string line =
    "time_us=" + std::to_string(microseconds) + " process=" + aProcess + " event=" + aEvent;
  for (const auto& [name, value] : aFields) {
    line.append(" ").append(name).append("=").append(value);
  }
  line += '\n';
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

} // namespace cornelcross::fakes
