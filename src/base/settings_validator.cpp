#include "base/settings_validator.hpp"

#include "base/flag_parser.hpp"

#include <cstdlib>
#include <iostream>

namespace cornelcross::base {

std::vector<std::string> parseSettings(int* aArgc, char*** aArgv, const std::string& aUsage)
{
  ParsedFlags parsed = parseFlags({ *aArgv + 1, *aArgv + *aArgc });
  if (parsed.mIsHelpRequested) {
    std::cout << describeFlags(aUsage);
    std::exit(0);
  }
  if (parsed.mIsVersionRequested) {
    std::cout << "cornelcross " << CORNELCROSS_VERSION << '\n';
    std::exit(0);
  }
  // Static, because aArgv refers to the remaining arguments until the process exits.
  static std::vector<std::string> arguments;
  arguments = std::move(parsed.mArguments);
  *aArgc = 1;
  for (std::string& argument : arguments) {
    (*aArgv)[(*aArgc)++] = argument.data();
  }
  return parsed.mErrors;
}

flow::Endpoint SettingsValidator::parseEndpoint(const std::string& aFlag, const std::string& aValue)
{
  const auto endpoint = flow::Endpoint::parse(aValue);
  require(endpoint.has_value(), "--" + aFlag + ": expected ADDRESS:PORT, found \"" + aValue + "\"");
  return endpoint.value_or(flow::Endpoint{});
}

void SettingsValidator::requireRange(const std::string& aFlag,
                                     std::int64_t aValue,
                                     std::int64_t aMin,
                                     std::int64_t aMax)
{
  require(aValue >= aMin && aValue <= aMax,
          "--" + aFlag + ": expected " + std::to_string(aMin) + " to " + std::to_string(aMax) +
            ", found " + std::to_string(aValue));
}

void SettingsValidator::requireDistinct(
  const std::vector<std::pair<std::string, flow::Endpoint>>& aSettings)
{
  for (std::size_t i = 0; i < aSettings.size(); ++i) {
    for (std::size_t j = i + 1; j < aSettings.size(); ++j) {
      const bool isEqual = aSettings[i].second == aSettings[j].second;
      require(!isEqual || aSettings[i].second == flow::Endpoint{},
              "--" + aSettings[j].first + ": expected another endpoint than --" +
                aSettings[i].first);
    }
  }
}

void SettingsValidator::requireReachable(const std::string& aFlag, flow::Endpoint aEndpoint)
{
  require(aEndpoint.mPort == 0 || aEndpoint.mAddress.mValue != 0,
          "--" + aFlag + ": expected an address at which other processes reach this one");
}

void SettingsValidator::requireNoArguments(int aArgc, char** aArgv)
{
  for (int i = 1; i < aArgc; ++i) {
    require(false, std::string("unexpected argument \"") + aArgv[i] + "\"");
  }
}

void SettingsValidator::require(bool aIsSatisfied, const std::string& aError)
{
  if (!aIsSatisfied) {
    mErrors.push_back(aError);
  }
}

bool SettingsValidator::printErrors() const
{
  for (const auto& error : mErrors) {
    std::cerr << "error: " << error << '\n';
  }
  return !mErrors.empty();
}

} // namespace cornelcross::base
