#include "scenarios/runner/child.hpp"

#include <csignal>
#include <stdexcept>
#include <sys/prctl.h>
#include <thread>

namespace cornelcross::scenarios {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 10 };

void endWithParent(gpointer)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
}

} // namespace

Child::Child(const std::vector<std::string>& aCommand,
             const std::filesystem::path& aLog,
             const std::map<std::string, std::string>& aEnvironment)
{
  GSubprocessLauncher* launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDIN_PIPE);
  g_subprocess_launcher_set_stdout_file_path(launcher, aLog.c_str());
  g_subprocess_launcher_set_stderr_file_path(launcher, (aLog.string() + ".err").c_str());
  g_subprocess_launcher_set_child_setup(launcher, &endWithParent, nullptr, nullptr);
  for (const auto& [name, value] : aEnvironment) {
    g_subprocess_launcher_setenv(launcher, name.c_str(), value.c_str(), TRUE);
  }
  std::vector<const char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& word : aCommand) {
    arguments.push_back(word.c_str());
  }
  arguments.push_back(nullptr);
  GError* error = nullptr;
  mProcess = g_subprocess_launcher_spawnv(launcher, arguments.data(), &error);
  g_object_unref(launcher);
  if (mProcess == nullptr) {
    const std::string message = error->message;
    g_error_free(error);
    throw std::runtime_error(message);
  }
}

Child::~Child()
{
  signal(SIGKILL);
  g_subprocess_wait(mProcess, nullptr, nullptr);
  g_object_unref(mProcess);
}

void Child::writeLine(const std::string& aLine)
{
  const std::string line = aLine + '\n';
  GOutputStream* input = g_subprocess_get_stdin_pipe(mProcess);
  g_output_stream_write_all(input, line.data(), line.size(), nullptr, nullptr, nullptr);
  g_output_stream_flush(input, nullptr, nullptr);
}

void Child::signal(int aSignal)
{
  g_subprocess_send_signal(mProcess, aSignal);
}

bool Child::isRunning() const
{
  return g_subprocess_get_identifier(mProcess) != nullptr;
}

bool Child::wait(std::chrono::milliseconds aTimeout) const
{
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (isRunning()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace cornelcross::scenarios
