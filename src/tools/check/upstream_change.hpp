#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace cornelcross::tools::check {

/// @brief Effect of a configuration change on one upstream.
enum class UpstreamEffect
{
  kBecomesEligible,   ///< starts to accept new flows
  kStopsNewFlows,     ///< accepts no new flows; established flows continue
  kLosesFlows,        ///< receives no more packets; established flows break
  kRemovedAfterDrain, ///< removed while leaving; remaining flows break
  kChanged,           ///< only other attributes change
};

/// @brief Name of an effect in the printed preview.
std::string_view toString(UpstreamEffect aEffect);

/// @brief Change of one upstream of a service.
struct UpstreamChange
{
  std::string mService;
  std::string mUpstream;
  UpstreamEffect mEffect = UpstreamEffect::kChanged;
  /// Attributes before the change, such as "serving, zone a in, weight 1, ..."; "unlisted" if
  /// absent.
  std::string mBefore;
  /// Attributes after the change, in the format of mBefore.
  std::string mAfter;

  auto operator<=>(const UpstreamChange&) const = default;
};

} // namespace cornelcross::tools::check
