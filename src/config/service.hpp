#pragma once

#include "config/cold_start.hpp"
#include "config/upstream_list.hpp"

namespace cornelcross::config {

/// @brief The upstreams of one service, and the address that is its own.
struct Service
{
  std::string mName;
  flow::Endpoint mAddress; ///< what callers connect to; empty if only AddressRoutes lead here
  UpstreamList mUpstreams; ///< in the order of the document; those that are gone come last
  ColdStart mColdStart = {};

  auto operator<=>(const Service&) const = default;
};

} // namespace cornelcross::config
