#include "bench/control/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace cornelcross::bench {

namespace {

constexpr double kBytesPerMegabyte = 1e6;
constexpr int kFieldsBeforeUserTime = 11; // after the name in /proc/PID/stat

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand, std::string aLog)
  : mLog(std::move(aLog))
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kMode = 0600;
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, mLog.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&mPid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + aCommand[0]);
  }
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : mPid(std::exchange(aOther.mPid, 0)), mLog(std::move(aOther.mLog))
{
}

ChildProcess::~ChildProcess()
{
  if (mPid > 0) {
    kill(mPid, SIGCONT);
    kill(mPid, SIGTERM);
    waitpid(mPid, nullptr, 0);
  }
}

void ChildProcess::signal(int aSignal) const
{
  kill(mPid, aSignal);
}

double ChildProcess::cpuSeconds() const
{
  std::ifstream file("/proc/" + std::to_string(mPid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ChildProcess::residentMegabytes() const
{
  std::ifstream file("/proc/" + std::to_string(mPid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}

} // namespace cornelcross::bench
