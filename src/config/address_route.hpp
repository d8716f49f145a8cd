#pragma once

#include "flow/endpoint.hpp"

#include <string>
#include <vector>

namespace cornelcross::config {

/// @brief Part of the new flows to an address that goes to one service.
struct ServiceShare
{
  std::string mService;
  std::uint32_t mWeight = 1; ///< relative to the other shares; 0 keeps established flows only

  auto operator<=>(const ServiceShare&) const = default;
};

/// @brief An address that callers connect to and the services behind it.
struct AddressRoute
{
  flow::Endpoint mAddress;
  std::vector<ServiceShare> mShares;

  auto operator<=>(const AddressRoute&) const = default;
};

} // namespace cornelcross::config
