#pragma once

#include <compare>

namespace cornelcross::base {

/// @brief Safety mechanisms that a test build can disable, to show that a scenario fails without
/// the mechanism that it verifies. All are enabled in the product.
struct SafetyMechanisms
{
  bool mExcludeOutZones = true;         ///< an availability zone out of service receives no packets
  bool mExcludeLeavingUpstreams = true; ///< a leaving upstream receives no new flow
  bool mCheckService = true;            ///< an agent drops packets for services other than its own
  bool mStripSynData = true;            ///< payload in a SYN is not delivered
  bool mForwardUnowned = true;          ///< an agent forwards packets of flows that it does not own
  bool mAdoptFlows = true;           ///< an agent adopts flows of its upstream that have no record
  bool mRejectStaleRevisions = true; ///< a document is never replaced by one with a lower revision
  bool mLimitColdStart = true;       ///< an upstream in its cold start receives a bounded load

  auto operator<=>(const SafetyMechanisms&) const = default;
};

/// @brief Enabled safety mechanisms. No flag, environment variable or message can change them: a
/// test program links its own definition of the function in place of the library's.
const SafetyMechanisms& safetyMechanisms();

} // namespace cornelcross::base
