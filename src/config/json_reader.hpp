#pragma once

#include "config/config_error.hpp"
#include "flow/endpoint.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

namespace cornelcross::config {

/// @brief Reads fields of JSON values and collects every fault with its path.
class JsonReader
{
public:
  /// @brief Reports one fault.
  void fail(const std::string& aPath, const std::string& aExpected);

  /// @brief Parses JSON text; a discarded value and one fault if it isn't JSON.
  nlohmann::json parse(const std::string& aPath, const std::string& aText);

  /// @brief Reports each member of aObject that isn't in aAllowed. False unless it is an object.
  bool checkMembers(const nlohmann::json& aObject,
                    const std::string& aPath,
                    const std::set<std::string>& aAllowed);

  /// @brief Non-empty string member.
  std::string readString(const nlohmann::json& aObject,
                         const std::string& aPath,
                         const std::string& aName);

  /// @brief "address:port" member.
  flow::Endpoint readEndpoint(const nlohmann::json& aObject,
                              const std::string& aPath,
                              const std::string& aName);

  /// @brief Integer member between aMin and aMax; aDefault, if given, when the member is absent.
  std::uint32_t readInteger(const nlohmann::json& aObject,
                            const std::string& aPath,
                            const std::string& aName,
                            std::uint32_t aMin,
                            std::uint32_t aMax,
                            std::optional<std::uint32_t> aDefault);

  /// @brief Integer member of 64 bits; 0 when the member is absent.
  std::uint64_t readNumber(const nlohmann::json& aObject,
                           const std::string& aPath,
                           const std::string& aName);

  /// @brief Calls aVisit with each element of the array member and its path.
  void forEach(const nlohmann::json& aObject,
               const std::string& aPath,
               const std::string& aName,
               const std::function<void(const nlohmann::json&, const std::string&)>& aVisit);

  /// @brief Every fault so far, in the order of the document.
  const std::vector<ConfigError>& errors() const { return mErrors; }

private:
  std::vector<ConfigError> mErrors;
};

} // namespace cornelcross::config
