#include "process/support/child.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <gio/gunixinputstream.h>
#include <libsoup/soup.h>
#include <thread>

namespace cornelcross::test {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr std::chrono::seconds kResponseTimeout{ 5 };

} // namespace

Child::Child(const std::string& aProgram,
             const std::vector<std::string>& aFlags,
             const std::vector<std::string>& aEnvironment)
{
  GSubprocessLauncher* launcher = g_subprocess_launcher_new(static_cast<GSubprocessFlags>(
    G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE));
  for (const std::string& setting : aEnvironment) {
    const auto equals = setting.find('=');
    g_subprocess_launcher_setenv(
      launcher, setting.substr(0, equals).c_str(), setting.substr(equals + 1).c_str(), TRUE);
  }
  const std::string path = std::string(CORNELCROSS_BUILD_FOLDER) + "/" + aProgram;
  std::vector<const char*> arguments = { path.c_str() };
  for (const std::string& flag : aFlags) {
    arguments.push_back(flag.c_str());
  }
  arguments.push_back(nullptr);
  mProcess = g_subprocess_launcher_spawnv(launcher, arguments.data(), nullptr);
  g_object_unref(launcher);
  BOOST_REQUIRE_MESSAGE(mProcess != nullptr, "cannot start " + path);
}

Child::~Child()
{
  g_subprocess_force_exit(mProcess);
  g_subprocess_wait(mProcess, nullptr, nullptr);
  g_object_unref(mProcess);
}

void Child::signal(int aSignal)
{
  g_subprocess_send_signal(mProcess, aSignal);
}

bool Child::hasEndedWithin(std::chrono::milliseconds aTimeout)
{
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  // GLib's worker thread clears the identifier after reaping the process.
  while (g_subprocess_get_identifier(mProcess) != nullptr) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
    while (g_main_context_iteration(nullptr, FALSE) == TRUE) {
    }
  }
  return true;
}

int Child::exitCode()
{
  g_subprocess_wait(mProcess, nullptr, nullptr);
  return g_subprocess_get_if_exited(mProcess) == TRUE ? g_subprocess_get_exit_status(mProcess) : -1;
}

std::string Child::output()
{
  char* text = nullptr;
  g_subprocess_communicate_utf8(mProcess, nullptr, nullptr, &text, nullptr, nullptr);
  std::string output = text == nullptr ? "" : text;
  g_free(text);
  return output;
}

int Child::outputDescriptor() const
{
  return g_unix_input_stream_get_fd(G_UNIX_INPUT_STREAM(g_subprocess_get_stdout_pipe(mProcess)));
}

std::string Child::pid() const
{
  const char* identifier = g_subprocess_get_identifier(mProcess);
  return identifier == nullptr ? "" : identifier;
}

std::string httpGet(const std::string& aEndpoint, const std::string& aPath)
{
  SoupSession* session = soup_session_new_with_options("timeout", 2, nullptr);
  SoupMessage* message = soup_message_new("GET", ("http://" + aEndpoint + aPath).c_str());
  GBytes* bytes = soup_session_send_and_read(session, message, nullptr, nullptr);
  std::string response;
  if (bytes != nullptr) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    response = std::to_string(soup_message_get_status(message)) + " " + std::string(data, size);
    g_bytes_unref(bytes);
  }
  g_object_unref(message);
  g_object_unref(session);
  return response;
}

std::string httpGetUntil(const std::string& aEndpoint,
                         const std::string& aPath,
                         const std::string& aExpected)
{
  const auto deadline = std::chrono::steady_clock::now() + kResponseTimeout;
  std::string response = httpGet(aEndpoint, aPath);
  while (response != aExpected && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    response = httpGet(aEndpoint, aPath);
  }
  return response;
}

} // namespace cornelcross::test
