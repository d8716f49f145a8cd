#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace cornelcross::test {

/// @brief Operators' configuration with one route to aService.
inline std::string makeConfig(std::uint64_t aVersion, const std::string& aService)
{
  return nlohmann::json{
    { "version", aVersion },
    { "routes",
      { { { "hostname", "198.18.0.1" }, { "prefix", "/443/" }, { "service", aService } } } },
    { "services", { { { "name", "log" } }, { { "name", "cert" } } } }
  }.dump();
}

/// @brief Record of a backend.
inline std::string makeBackend(const std::string& aService,
                               const std::string& aAddress,
                               const std::string& aState = "ready",
                               std::uint64_t aStartedAtMs = 1000,
                               std::uint64_t aSequence = 1)
{
  return nlohmann::json{
    { "service", aService }, { "address", aAddress },   { "zone", "a" },
    { "version", "v1" },     { "capacity", 7 },         { "state", aState },
    { "warmupLeftMs", 0 },   { "sequence", aSequence }, { "born", aStartedAtMs }
  }.dump();
}

} // namespace cornelcross::test
