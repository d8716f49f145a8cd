#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace cornelcross::tools::check {

/// @brief What a change does to one upstream.
enum class UpstreamEffect
{
  kBecomesEligible,   ///< takes new flows from then on
  kStopsNewFlows,     ///< takes no new flow, keeps its established ones
  kLosesFlows,        ///< receives no packet any more; its established flows break
  kRemovedAfterDrain, ///< was leaving and is no longer listed; flows that it still has break
  kChanged,           ///< another attribute differs
};

/// @brief Name in the printed preview.
std::string_view toString(UpstreamEffect aEffect);

/// @brief One upstream whose part changes.
struct UpstreamChange
{
  std::string mService;
  std::string mUpstream;
  UpstreamEffect mEffect = UpstreamEffect::kChanged;
  std::string mBefore; ///< "serving, zone a in", "unlisted"
  std::string mAfter;

  auto operator<=>(const UpstreamChange&) const = default;
};

} // namespace cornelcross::tools::check
