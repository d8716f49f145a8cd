#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace cornelcross::scenarios {

/// @brief Records of the runner, in the log format of the other processes.
class RunLog
{
public:
  explicit RunLog(const std::filesystem::path& aFile) : mFile(aFile) {}

  /// @brief Appends a record with the current time.
  void write(const std::string& aEvent,
             const std::vector<std::pair<std::string, std::string>>& aFields);

private:
  std::ofstream mFile;
};

} // namespace cornelcross::scenarios
