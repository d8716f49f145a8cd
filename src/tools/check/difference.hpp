#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace cornelcross::tools::check {

/// @brief Kinds of differences between two configurations, in the order of their effect on callers.
enum class DifferenceKind
{
  kAddressRemoved,  ///< callers of the address reach nothing
  kServiceMoved,    ///< an address no longer leads to the service, or the service is removed
  kZoneOut,         ///< a zone goes out of service
  kUpstreamRemoved, ///< an upstream is removed, gets other endpoints, or moves to a zone that is
                    ///< out
  kLimitLowered,    ///< an upstream or an address takes less than before
  kOther            ///< all other differences
};

/// @brief Name of a kind in the output.
std::string_view toString(DifferenceKind aKind);

/// @brief One difference between two configurations. Sorts by effect on callers, then by path.
struct Difference
{
  DifferenceKind mKind = DifferenceKind::kOther;
  std::string mPath;       ///< what differs, such as "service/logbook.upstreams.logbook-1"
  std::string mBefore;     ///< content before the change; "unlisted" if absent
  std::string mAfter;      ///< content after the change; "unlisted" if absent
  bool mEndsFlows = false; ///< flows that are open at the time of the change end

  auto operator<=>(const Difference&) const = default;

  /// @brief Position of the kind in the order of effects, from 1.
  int rank() const { return static_cast<int>(mKind) + 1; }
};

} // namespace cornelcross::tools::check
