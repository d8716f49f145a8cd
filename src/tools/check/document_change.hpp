#pragma once

#include "flow/endpoint.hpp"

#include <string>

namespace cornelcross::tools::check {

/// @brief Change of the document of an address or of the requests to an address.
struct DocumentChange
{
  flow::Endpoint mAddress;
  std::string mBefore; ///< content before the change; kUnlisted if absent
  std::string mAfter;  ///< content after the change; kUnlisted if absent

  auto operator<=>(const DocumentChange&) const = default;
};

} // namespace cornelcross::tools::check
