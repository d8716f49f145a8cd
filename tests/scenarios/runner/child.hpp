#pragma once

#include <chrono>
#include <filesystem>
#include <gio/gio.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelcross::scenarios {

/// @brief A child process of the runner. The process is killed when the runner terminates, even if
/// the runner is killed.
class Child
{
public:
  /// @brief Starts a program with its output in aLog and its errors in aLog.err.
  /// @param aEnvironment variables in addition to the inherited ones
  /// @throws std::runtime_error if the start fails
  Child(const std::vector<std::string>& aCommand,
        const std::filesystem::path& aLog,
        const std::map<std::string, std::string>& aEnvironment = {});
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// @brief Writes a line to the standard input of the process.
  void writeLine(const std::string& aLine);

  /// @brief Sends a signal to the process.
  void signal(int aSignal);

  /// @brief Waits until the process exits. @return false if the process still runs after aTimeout
  bool wait(std::chrono::milliseconds aTimeout) const;

  /// @brief True until the process exits.
  bool isRunning() const;

private:
  GSubprocess* mProcess = nullptr;
};

} // namespace cornelcross::scenarios
