#include "tools/check/finding.hpp"

namespace cornelcross::tools::check {

std::string_view toString(FindingKind aKind)
{
  switch (aKind) {
    case FindingKind::kServiceWithoutAddress:
      return "service_without_address";
    case FindingKind::kShareWithoutNewFlows:
      return "share_without_new_flows";
    case FindingKind::kAddressWithoutUpstreams:
      return "address_without_upstreams";
    case FindingKind::kZoneWithoutUpstreams:
      return "zone_without_upstreams";
    case FindingKind::kPrefixCovered:
      return "prefix_covered";
    case FindingKind::kObjectiveAboveDeadline:
      return "objective_above_deadline";
    case FindingKind::kColdStartTooLong:
      return "cold_start_too_long";
    case FindingKind::kColdStartRateBelowUpstreams:
      return "cold_start_rate_below_upstreams";
  }
  return "unknown";
}

} // namespace cornelcross::tools::check
