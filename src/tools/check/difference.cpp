#include "tools/check/difference.hpp"

namespace cornelcross::tools::check {

std::string_view toString(DifferenceKind aKind)
{
  switch (aKind) {
    case DifferenceKind::kAddressRemoved:
      return "address_removed";
    case DifferenceKind::kServiceMoved:
      return "service_moved";
    case DifferenceKind::kZoneOut:
      return "zone_out";
    case DifferenceKind::kUpstreamRemoved:
      return "upstream_removed";
    case DifferenceKind::kLimitLowered:
      return "limit_lowered";
    case DifferenceKind::kOther:
      return "other";
  }
  return "unknown";
}

} // namespace cornelcross::tools::check
