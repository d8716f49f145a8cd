#include "balancer/actions.hpp"

namespace cornelcross::balancer {

std::string_view toString(DropReason aReason)
{
  switch (aReason) {
    case DropReason::kMalformed:
      return "malformed";
    case DropReason::kNoService:
      return "no_service";
    case DropReason::kNoUpstream:
      return "no_upstream";
  }
  return "unknown";
}

} // namespace cornelcross::balancer
