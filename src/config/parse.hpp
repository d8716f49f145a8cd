#pragma once

#include "config/address_route.hpp"
#include "config/availability_zone.hpp"
#include "config/config_error.hpp"
#include "config/service.hpp"
#include "config/workspace.hpp"

#include <variant>

/// @brief Parsing and validation of single documents. Nothing is applied in part: a result is
/// either the value or every fault that was found.
namespace cornelcross::config {

/// @brief Result of parsing a document into T.
template<class T>
using Parsed = std::variant<T, std::vector<ConfigError>>;

/// @brief Parses the document "service/NAME".
Parsed<Service> parseService(const std::string& aName, const std::string& aText);

/// @brief Parses the document "address/ADDRESS".
Parsed<AddressRoute> parseAddress(const std::string& aAddress, const std::string& aText);

/// @brief Parses the document "zones".
Parsed<std::vector<AvailabilityZone>> parseZones(const std::string& aText);

/// @brief Parses the document "workspaces".
Parsed<std::vector<Workspace>> parseWorkspaces(const std::string& aText);

} // namespace cornelcross::config
