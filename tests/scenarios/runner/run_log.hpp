#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace cornelcross::scenarios {

/// @brief What the runner did, in the form of the other processes' logs.
class RunLog
{
public:
  explicit RunLog(const std::filesystem::path& aFile) : mFile(aFile) {}

  /// @brief Writes one record.
  void write(const std::string& aEvent,
             const std::vector<std::pair<std::string, std::string>>& aFields);

private:
  std::ofstream mFile;
};

} // namespace cornelcross::scenarios
