#include "scenarios/runner/wait_until.hpp"

#include <stdexcept>
#include <thread>

namespace cornelcross::scenarios {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };

} // namespace

void waitUntil(const std::string& aDescription,
               std::chrono::milliseconds aTimeout,
               const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("not within " + std::to_string(aTimeout.count()) +
                               " ms: " + aDescription);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace cornelcross::scenarios
