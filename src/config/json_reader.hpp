#pragma once

#include "config/config_error.hpp"
#include "flow/endpoint.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

namespace cornelcross::config {

/// @brief Reads members of JSON objects and collects all errors with their paths.
class JsonReader
{
public:
  /// @brief Adds one error.
  void addError(const std::string& aPath, const std::string& aExpected);

  /// @brief Parses JSON text. Adds an error for each repeated member, and one if aText is not valid
  /// JSON or nested too deeply; the result is then a discarded value.
  nlohmann::json parse(const std::string& aPath, const std::string& aText);

  /// @brief Adds an error for each member of aObject that is not in aAllowed.
  /// @return false if aObject is not an object, which is an error too unless it is discarded
  bool checkMembers(const nlohmann::json& aObject,
                    const std::string& aPath,
                    const std::set<std::string>& aAllowed);

  /// @brief Reads a string that must not be empty. Returns an empty string on an error.
  std::string readString(const nlohmann::json& aObject,
                         const std::string& aPath,
                         const std::string& aName);

  /// @brief Reads an endpoint "address:port". Returns an empty endpoint on an error.
  flow::Endpoint readEndpoint(const nlohmann::json& aObject,
                              const std::string& aPath,
                              const std::string& aName);

  /// @brief Reads an integer between aMin and aMax. An absent member has the value aDefault, or is
  /// an error if there is no default. Returns aMin on an error.
  std::uint32_t readInteger(const nlohmann::json& aObject,
                            const std::string& aPath,
                            const std::string& aName,
                            std::uint32_t aMin,
                            std::uint32_t aMax,
                            std::optional<std::uint32_t> aDefault);

  /// @brief Reads a number between aMin and aMax, which may be a fraction. Returns aMin on an
  /// error.
  double readNumber(const nlohmann::json& aObject,
                    const std::string& aPath,
                    const std::string& aName,
                    double aMin,
                    double aMax);

  /// @brief Reads an unsigned integer of 64 bits. Returns 0 if the member is absent and on an
  /// error.
  std::uint64_t readUint64(const nlohmann::json& aObject,
                           const std::string& aPath,
                           const std::string& aName);

  /// @brief Calls aVisit with each element of an array and the path of the element. Adds an error
  /// if the member is not an array.
  void forEach(const nlohmann::json& aObject,
               const std::string& aPath,
               const std::string& aName,
               const std::function<void(const nlohmann::json&, const std::string&)>& aVisit);

  /// @brief All errors so far, in the order in which they were added.
  const std::vector<ConfigError>& errors() const { return mErrors; }

private:
  std::vector<ConfigError> mErrors;
};

} // namespace cornelcross::config
