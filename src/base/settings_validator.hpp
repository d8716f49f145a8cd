#pragma once

#include "flow/endpoint.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cornelcross::base {

/// @brief Exit code of a process whose settings are invalid.
inline constexpr int kExitInvalidSettings = 2;

/// @brief Sets the flags from the command line, and every other flag from the environment variable
/// CORNELCROSS_<FLAG IN CAPITALS>. For --help and --version, prints the text and exits the process.
/// Arguments that are not flags remain in aArgv.
/// @return one message for each unknown flag or invalid value
std::vector<std::string> parseSettings(int* aArgc, char*** aArgv, const std::string& aUsage);

/// @brief Validates settings and collects all errors, to print them at once.
class SettingsValidator
{
public:
  /// @param aErrors errors of previous steps, such as parseSettings()
  explicit SettingsValidator(std::vector<std::string> aErrors) : mErrors(std::move(aErrors)) {}

  /// @brief Parses an ADDRESS:PORT setting. @return the default endpoint and an error recorded if
  /// aValue is invalid
  flow::Endpoint parseEndpoint(const std::string& aFlag, const std::string& aValue);

  /// @brief Requires aMin <= aValue <= aMax.
  void requireRange(const std::string& aFlag,
                    std::int64_t aValue,
                    std::int64_t aMin,
                    std::int64_t aMax);

  /// @brief Requires that the endpoints, apart from unset ones, differ from each other.
  /// @param aSettings pairs of flag and endpoint
  void requireDistinct(const std::vector<std::pair<std::string, flow::Endpoint>>& aSettings);

  /// @brief Requires that aEndpoint, which is sent to other processes, has no wildcard address. An
  /// endpoint with port 0 passes.
  void requireReachable(const std::string& aFlag, flow::Endpoint aEndpoint);

  /// @brief Requires that there are no arguments other than flags.
  void requireNoArguments(int aArgc, char** aArgv);

  /// @brief Records aError unless aIsSatisfied.
  void require(bool aIsSatisfied, const std::string& aError);

  /// @brief Prints all errors to standard error. @return true if there is an error
  bool printErrors() const;

private:
  std::vector<std::string> mErrors;
};

} // namespace cornelcross::base
