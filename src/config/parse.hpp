#pragma once

#include "config/address_requests.hpp"
#include "config/address_route.hpp"
#include "config/availability_zone.hpp"
#include "config/config_error.hpp"
#include "config/service.hpp"
#include "config/workspace.hpp"

#include <variant>

/// @brief Parsing and validation of single documents. The result is either the value of the whole
/// document or the list of all errors; a document is never applied in part.
namespace cornelcross::config {

/// @brief Value of a document, or all its errors.
template<class T>
using ParseResult = std::variant<T, std::vector<ConfigError>>;

/// @brief Parses the document "service/NAME".
ParseResult<Service> parseService(const std::string& aName, const std::string& aText);

/// @brief Parses the document "address/ADDRESS".
ParseResult<AddressRoute> parseAddress(const std::string& aAddress, const std::string& aText);

/// @brief Parses the document "requests/ADDRESS".
ParseResult<AddressRequests> parseRequests(const std::string& aAddress, const std::string& aText);

/// @brief Parses the document "zones".
ParseResult<std::vector<AvailabilityZone>> parseZones(const std::string& aText);

/// @brief Parses the document "workspaces".
ParseResult<std::vector<Workspace>> parseWorkspaces(const std::string& aText);

} // namespace cornelcross::config
