#pragma once

#include <compare>

namespace cornelcross::base {

/// @brief Safety mechanisms that a test build can leave out, so that a scenario is seen to fail
/// without the mechanism that it proves. All are on in the product.
struct SafetyMechanisms
{
  bool mExcludeOutZones = true;         ///< an availability zone that is out receives nothing
  bool mExcludeLeavingUpstreams = true; ///< an upstream that is leaving takes no new flow
  bool mCheckService = true;            ///< an agent drops packets for another service than its own
  bool mStripSynData = true;            ///< data in a SYN is not delivered
  bool mForwardUnowned = true;          ///< an agent passes a packet on that it doesn't own
  bool mAdoptFlows = true;              ///< an agent owns what its upstream sends without a record
  bool mRejectStaleRevisions = true; ///< a document is never replaced by one with a lower revision
  bool mLimitColdStart = true;       ///< an upstream in its cold start gets a bounded load

  auto operator<=>(const SafetyMechanisms&) const = default;
};

/// @brief The mechanisms in force. No flag, environment variable or message reaches them: a test
/// program links a definition of its own in place of the library's.
const SafetyMechanisms& safetyMechanisms();

} // namespace cornelcross::base
