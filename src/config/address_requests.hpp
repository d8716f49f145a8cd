#pragma once

#include "config/request_class.hpp"
#include "flow/endpoint.hpp"

namespace cornelcross::config {

/// @brief Content of the document "requests/ADDRESS".
struct AddressRequests
{
  flow::Endpoint mAddress;
  RequestClass mClass;

  auto operator<=>(const AddressRequests&) const = default;
};

} // namespace cornelcross::config
