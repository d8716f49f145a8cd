#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>

namespace cornelcross::scenarios {

/// @brief Settings of a run.
struct RunSettings
{
  std::filesystem::path mPrograms; ///< build folder with the programs of the product and tests/
  std::filesystem::path mLogs;     ///< folder for the logs
  std::string mDisabledMechanism;  ///< safety mechanism that the product disables; empty for none
  std::uint64_t mSeed = 1;         ///< seed of packet loss, packet spraying and load

  /// @brief Returns the path of a program: "balancer", "agent" or a fake, "fake-NAME".
  std::string program(const std::string& aName) const
  {
    if (aName.starts_with("fake-")) {
      return mPrograms / "tests" / aName;
    }
    return mDisabledMechanism.empty() ? mPrograms / ("cornelcross-" + aName)
                                      : mPrograms / "tests" / ("faulty-" + aName);
  }

  /// @brief Variables that the programs get in addition to the inherited ones.
  std::map<std::string, std::string> environment() const
  {
    if (mDisabledMechanism.empty()) {
      return {};
    }
    return { { "CORNELCROSS_TEST_FAULT", mDisabledMechanism } };
  }
};

} // namespace cornelcross::scenarios
