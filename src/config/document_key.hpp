#pragma once

#include "flow/endpoint.hpp"

#include <string>
#include <string_view>

namespace cornelcross::config {

/// @brief Prefixes of the keys of services, of addresses and of the requests to addresses.
inline constexpr std::string_view kServicePrefix = "service/";
inline constexpr std::string_view kAddressPrefix = "address/";
inline constexpr std::string_view kRequestsPrefix = "requests/";

/// @brief Keys of the documents that list all availability zones and all workspaces.
inline constexpr std::string_view kZonesKey = "zones";
inline constexpr std::string_view kWorkspacesKey = "workspaces";

/// @brief Key of the document in which a reader of the configuration service leaves its state for
/// the readers that follow it. Opaque to all other code. Processes send it on request only, because
/// those that predate it would reject it.
inline constexpr std::string_view kReaderStateKey = "reader_state";

/// @brief True for the documents that the operators' configuration alone determines.
inline bool isRouteKey(std::string_view aKey)
{
  return aKey.starts_with(kAddressPrefix) || aKey.starts_with(kRequestsPrefix);
}

/// @brief Key of the document that describes a service.
inline std::string serviceKey(const std::string& aName)
{
  return std::string(kServicePrefix) + aName;
}

/// @brief Key of the document that lists the services behind an address.
inline std::string addressKey(flow::Endpoint aAddress)
{
  return std::string(kAddressPrefix) + aAddress.toString();
}

/// @brief Key of the document that describes the requests to an address.
inline std::string requestsKey(flow::Endpoint aAddress)
{
  return std::string(kRequestsPrefix) + aAddress.toString();
}

} // namespace cornelcross::config
