#pragma once

#include "flow/endpoint.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cornelcross::base {

/// @brief Exit code of a process whose settings are invalid.
inline constexpr int kExitInvalidSettings = 2;

/// @brief Parses flags, then takes every flag that the command line left out from the environment
/// variable CORNELCROSS_<FLAG IN CAPITALS>. Answers --help and --version and ends the process.
/// What is no flag stays in aArgv. @return every unknown flag and unparsable value
std::vector<std::string> parseSettings(int* aArgc, char*** aArgv, const std::string& aUsage);

/// @brief Collects the errors of all settings, so that they are shown at once.
class SettingsValidator
{
public:
  /// @brief Takes over errors found before.
  explicit SettingsValidator(std::vector<std::string> aErrors) : mErrors(std::move(aErrors)) {}

  /// @brief "address:port" setting.
  flow::Endpoint parseEndpoint(const std::string& aFlag, const std::string& aValue);

  /// @brief Integer setting between aMin and aMax.
  void requireRange(const std::string& aFlag,
                    std::int64_t aValue,
                    std::int64_t aMin,
                    std::int64_t aMax);

  /// @brief Endpoints that must differ from each other.
  void requireDistinct(const std::vector<std::pair<std::string, flow::Endpoint>>& aSettings);

  /// @brief An endpoint that is told to other processes: no wildcard address.
  void requireReachable(const std::string& aFlag, flow::Endpoint aEndpoint);

  /// @brief No argument besides flags.
  void requireNoArguments(int aArgc, char** aArgv);

  /// @brief Any other condition that must hold.
  void require(bool aHolds, const std::string& aError);

  /// @brief Prints every error to standard error. @return true if there was one
  bool printErrors() const;

private:
  std::vector<std::string> mErrors;
};

} // namespace cornelcross::base
