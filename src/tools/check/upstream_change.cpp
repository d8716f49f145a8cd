#include "tools/check/upstream_change.hpp"

namespace cornelcross::tools::check {

std::string_view toString(UpstreamEffect aEffect)
{
  switch (aEffect) {
    case UpstreamEffect::kBecomesEligible:
      return "becomes_eligible";
    case UpstreamEffect::kStopsNewFlows:
      return "stops_new_flows";
    case UpstreamEffect::kLosesFlows:
      return "loses_flows";
    case UpstreamEffect::kRemovedAfterDrain:
      return "removed_after_drain";
    case UpstreamEffect::kChanged:
      return "changed";
  }
  return "unknown";
}

} // namespace cornelcross::tools::check
