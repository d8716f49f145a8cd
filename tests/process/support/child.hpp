#pragma once

#include <chrono>
#include <gio/gio.h>
#include <string>
#include <vector>

namespace cornelcross::test {

/// @brief A program of the build as a child process, ended with the object.
class Child
{
public:
  /// @param aEnvironment "NAME=VALUE" settings besides the inherited ones
  explicit Child(const std::string& aProgram,
                 const std::vector<std::string>& aFlags,
                 const std::vector<std::string>& aEnvironment = {});
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// @brief Sends a signal.
  void signal(int aSignal);

  /// @brief True once the process has ended; waits up to aTimeout for it.
  bool hasEndedWithin(std::chrono::milliseconds aTimeout);

  /// @brief Exit code of a process that ends by itself; -1 if it was killed.
  int exitCode();

  /// @brief What a process that ends by itself wrote to standard output and error.
  std::string output();

private:
  GSubprocess* mProcess;
};

/// @brief Body of an HTTP answer with its status in front, "200 ok\n"; empty if nobody answers.
std::string httpGet(const std::string& aEndpoint, const std::string& aPath);

/// @brief Asks until the answer is aWanted or five seconds are over. @return the last answer
std::string httpGetUntil(const std::string& aEndpoint,
                         const std::string& aPath,
                         const std::string& aWanted);

} // namespace cornelcross::test
