#pragma once

#include <chrono>
#include <filesystem>
#include <gio/gio.h>
#include <optional>
#include <string>
#include <vector>

namespace cornelcross::scenarios {

/// @brief A process of the run. It ends with the runner, also when that is killed.
class Child
{
public:
  /// @brief Starts a program; its output is appended to aLog. @throws std::runtime_error
  Child(const std::vector<std::string>& aCommand,
        const std::filesystem::path& aLog,
        const std::string& aFault);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// @brief Writes a line to its standard input.
  void writeLine(const std::string& aLine);

  /// @brief Sends a signal.
  void signal(int aSignal);

  /// @brief Waits for its end. @return false if it still runs after aLimit
  bool wait(std::chrono::milliseconds aLimit) const;

  /// @brief True until it ends.
  bool isRunning() const;

private:
  GSubprocess* mProcess = nullptr;
};

} // namespace cornelcross::scenarios
