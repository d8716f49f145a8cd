#pragma once

#include "flow/endpoint.hpp"

#include <string>
#include <vector>

namespace cornelcross::config {

/// @brief A service behind an address and its share of the new flows to the address.
struct ServiceShare
{
  std::string mService;
  std::uint32_t mWeight = 1; ///< relative to the other services; 0: established flows only

  auto operator<=>(const ServiceShare&) const = default;
};

/// @brief An address that callers connect to and the services behind the address.
struct AddressRoute
{
  flow::Endpoint mAddress;
  std::vector<ServiceShare> mShares;

  auto operator<=>(const AddressRoute&) const = default;
};

} // namespace cornelcross::config
