#include "process/support/process_stacks.hpp"

#include <filesystem>
#include <fstream>
#include <glib.h>
#include <sstream>

namespace cornelcross::test {

namespace {

std::string contentOf(const std::filesystem::path& aFile)
{
  std::ifstream file(aFile);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string debuggerOutput(const std::string& aProcessId)
{
  char* output = nullptr;
  const std::string command = "gdb -p " + aProcessId + " -batch -ex 'thread apply all bt'";
  g_spawn_command_line_sync(command.c_str(), &output, nullptr, nullptr, nullptr);
  std::string text = output == nullptr ? "" : output;
  g_free(output);
  return text;
}

} // namespace

std::string stacksOf(const std::string& aProcessId)
{
  std::string text;
  std::error_code error;
  const std::filesystem::path tasks = "/proc/" + aProcessId + "/task";
  for (const auto& task : std::filesystem::directory_iterator(tasks, error)) {
    for (const char* file : { "comm", "stat", "wchan", "syscall", "stack" }) {
      text += std::string(file) + ": " + contentOf(task.path() / file) + '\n';
    }
  }
  return text + debuggerOutput(aProcessId);
}

} // namespace cornelcross::test
