#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace cornelcross::tools::check {

/// @brief What is probably wrong in documents that processes accept.
enum class FindingKind
{
  kServiceWithoutAddress,      ///< no address leads to the service
  kShareWithoutNewFlows,       ///< share of weight 0
  kAddressWithoutUpstreams,    ///< no service behind the address takes new flows
  kZoneWithoutUpstreams,       ///< no upstream is in the zone
  kPrefixCovered,              ///< longer prefixes cover the whole prefix
  kObjectiveAboveDeadline,     ///< a request may be answered after its caller has given up
  kColdStartTooLong,           ///< the cold start is longer than ten minutes
  kColdStartRateBelowUpstreams ///< the cold start has no rate of at least 1 for each upstream
};

/// @brief Name of a kind in the output.
std::string_view toString(FindingKind aKind);

/// @brief One finding in a configuration.
struct Finding
{
  FindingKind mKind = FindingKind::kServiceWithoutAddress;
  std::string mPath;   ///< location, such as "service/logbook.cold_start"
  std::string mDetail; ///< consequence, in words

  auto operator<=>(const Finding&) const = default;
};

} // namespace cornelcross::tools::check
