#pragma once

#include "config/cold_start.hpp"
#include "config/upstream_list.hpp"

namespace cornelcross::config {

/// @brief A service with its upstreams and its own address.
struct Service
{
  std::string mName;
  flow::Endpoint
    mAddress; ///< address that callers connect to; empty if only AddressRoutes select the service
  UpstreamList mUpstreams; ///< in the order of the document, followed by removed upstreams
  ColdStart mColdStart = {};

  auto operator<=>(const Service&) const = default;
};

} // namespace cornelcross::config
