#include "scenarios/runner/run_log.hpp"

#include <chrono>

namespace cornelcross::scenarios {

void RunLog::write(const std::string& aEvent,
                   const std::vector<std::pair<std::string, std::string>>& aFields)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  mFile << "time_us=" << std::chrono::duration_cast<std::chrono::microseconds>(now).count()
        << " process=runner event=" << aEvent;
  for (const auto& [name, value] : aFields) {
    mFile << ' ' << name << "=\"" << value << '"';
  }
  mFile << std::endl;
}

} // namespace cornelcross::scenarios
