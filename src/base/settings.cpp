#include "base/settings.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

namespace cornelcross::base {

namespace {

std::string environmentName(const std::string& aFlag)
{
  std::string name = "CORNELCROSS_" + aFlag;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::toupper(aCharacter));
  });
  return name;
}

} // namespace

std::vector<std::string> parseSettings(int* aArgc, char*** aArgv, const std::string& aUsage)
{
  gflags::SetUsageMessage(aUsage);
  gflags::SetVersionString(CORNELCROSS_VERSION);
  gflags::ParseCommandLineFlags(aArgc, aArgv, true);
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::vector<std::string> errors;
  for (const auto& flag : flags) {
    const std::string name = environmentName(flag.name);
    const char* value = std::getenv(name.c_str());
    if (value == nullptr || !flag.is_default) {
      continue;
    }
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
      errors.push_back(name + ": invalid value \"" + value + "\" for a setting of type " +
                       flag.type);
    }
  }
  return errors;
}

flow::Endpoint SettingsCheck::endpoint(const std::string& aFlag, const std::string& aValue)
{
  const auto endpoint = flow::Endpoint::parse(aValue);
  require(endpoint.has_value(), "--" + aFlag + ": expected ADDRESS:PORT, found \"" + aValue + "\"");
  return endpoint.value_or(flow::Endpoint{});
}

void SettingsCheck::range(const std::string& aFlag,
                          std::int64_t aValue,
                          std::int64_t aMin,
                          std::int64_t aMax)
{
  require(aValue >= aMin && aValue <= aMax,
          "--" + aFlag + ": expected " + std::to_string(aMin) + " to " + std::to_string(aMax) +
            ", found " + std::to_string(aValue));
}

void SettingsCheck::require(bool aHolds, const std::string& aError)
{
  if (!aHolds) {
    mErrors.push_back(aError);
  }
}

bool SettingsCheck::report() const
{
  for (const auto& error : mErrors) {
    std::cerr << "error: " << error << '\n';
  }
  return !mErrors.empty();
}

} // namespace cornelcross::base
