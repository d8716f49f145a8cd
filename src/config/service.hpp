#pragma once

#include "config/upstream_list.hpp"

namespace cornelcross::config {

/// @brief A service address and the upstreams behind it.
struct Service
{
  std::string mName;
  flow::Endpoint mAddress; ///< what callers connect to
  UpstreamList mUpstreams; ///< in the order of the document

  auto operator<=>(const Service&) const = default;
};

} // namespace cornelcross::config
