#pragma once

#include "config/upstream.hpp"

#include <vector>

namespace cornelcross::config {

/// @brief A service address and the upstreams behind it.
struct Service
{
  std::string mName;
  flow::Endpoint mAddress;          ///< what callers connect to
  std::vector<Upstream> mUpstreams; ///< in the order of the document

  auto operator<=>(const Service&) const = default;
};

} // namespace cornelcross::config
