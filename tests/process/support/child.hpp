#pragma once

#include <chrono>
#include <gio/gio.h>
#include <string>
#include <vector>

namespace cornelcross::test {

/// @brief Child process that runs a program of the build folder. The destructor kills the process.
class Child
{
public:
  /// @brief Starts a program.
  /// @param aProgram     path relative to the build folder
  /// @param aFlags       command-line arguments
  /// @param aEnvironment "NAME=VALUE" variables in addition to the inherited environment
  explicit Child(const std::string& aProgram,
                 const std::vector<std::string>& aFlags,
                 const std::vector<std::string>& aEnvironment = {});
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// @brief Sends a signal to the process.
  void signal(int aSignal);

  /// @brief Waits up to aTimeout for the process to end. Returns true if the process has ended.
  bool hasEndedWithin(std::chrono::milliseconds aTimeout);

  /// @brief Waits for the process to end. Returns the exit code, or -1 if a signal ended the
  /// process.
  int exitCode();

  /// @brief Waits for the process to end. Returns its standard output and standard error, merged.
  std::string output();

  /// @brief Descriptor of the pipe that output() reads.
  int outputDescriptor() const;

  /// @brief Id of the process; empty once it has ended.
  std::string pid() const;

private:
  GSubprocess* mProcess;
};

/// @brief Sends an HTTP GET request. Returns the status and the body, such as "200 ok\n", or an
/// empty string without a response within 2 seconds.
std::string httpGet(const std::string& aEndpoint, const std::string& aPath);

/// @brief Repeats httpGet() until the result is aExpected, for up to five seconds. Returns the last
/// result.
std::string httpGetUntil(const std::string& aEndpoint,
                         const std::string& aPath,
                         const std::string& aExpected);

} // namespace cornelcross::test
