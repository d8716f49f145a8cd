#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace cornelcross::bench {

/// @brief A process that the measurement started; ended by its id on destruction.
class ChildProcess
{
public:
  /// @brief Starts a program with its output in aLog. @throws std::runtime_error
  ChildProcess(const std::vector<std::string>& aCommand, std::string aLog);
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ChildProcess& operator=(ChildProcess&&) = delete;

  /// @brief Processor time used so far, in seconds.
  double cpuSeconds() const;

  /// @brief Resident memory, in megabytes.
  double residentMegabytes() const;

  /// @brief Stops or continues the process.
  void signal(int aSignal) const;

  /// @brief File with its output.
  const std::string& log() const { return mLog; }

private:
  pid_t mPid = 0;
  std::string mLog;
};

} // namespace cornelcross::bench
