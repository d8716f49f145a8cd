#include "agent/flow_manager.hpp"

#include <algorithm>

// Members of FlowManager that answer which flows the upstream owns.
namespace cornelcross::agent {

bool FlowManager::mayDeny(base::Time aNow, const flow::FlowKey& aFlow) const
{
  return mEvidence.areRecordsComplete(aNow) || mUpstreamQueries.isDenied(aNow, aFlow);
}

// A half-open record proves nothing: the caller may have acknowledged the SYN of another upstream.
// A refused connection proves the same whichever service the configuration assigns, if any. The
// other evidence counts only for the flows that this agent would have received. An owner states so
// whatever the state of its zone. Without a record, a zone that drains may end it at any time.
wire::FlowOwnership FlowManager::ownershipOf(base::Time aNow, const flow::FlowKey& aFlow) const
{
  const FlowRecord* record = mFlows.find(aFlow);
  if (record != nullptr && record->mState != FlowState::kHalfOpen) {
    return wire::FlowOwnership::kOwned;
  }
  const bool isServed = mUpstream && mConfiguration->serves(mServiceName, aFlow.mService);
  const bool isDenied = mEvidence.hasSeenRefusal() || (isServed && mayDeny(aNow, aFlow));
  if (record == nullptr && isDenied) {
    return wire::FlowOwnership::kDenied;
  }
  const bool isDeliverable =
    isServed && acceptsPackets() && !mConfiguration->isZoneDraining(mUpstream->mZone);
  return isDeliverable ? wire::FlowOwnership::kUnknown : wire::FlowOwnership::kUndeliverable;
}

Actions FlowManager::onOwnerLookup(base::Time aNow,
                                   flow::Endpoint aFrom,
                                   const wire::OwnerLookup& aLookup)
{
  wire::OwnerLookupReply reply{ aLookup.mRound, {} };
  reply.mOwnerships.reserve(aLookup.mFlows.size());
  for (const flow::FlowKey& flow : aLookup.mFlows) {
    reply.mOwnerships.push_back(ownershipOf(aNow, flow));
  }
  mIsEvidenceNeeded =
    std::any_of(reply.mOwnerships.begin(), reply.mOwnerships.end(), [](auto aOwnership) {
      return aOwnership == wire::FlowOwnership::kUnknown ||
             aOwnership == wire::FlowOwnership::kUndeliverable;
    });
  Actions actions{ SendMessage{ aFrom, std::move(reply) } };
  append(actions, tryUpstream(aNow));
  return actions;
}

Actions FlowManager::tryUpstream(base::Time aNow)
{
  const auto endpoint = mEvidence.nextAttempt(aNow, mIsEvidenceNeeded);
  if (!endpoint) {
    return {};
  }
  mIsEvidenceNeeded = false;
  return { ConnectToUpstream{ *endpoint } };
}

Actions FlowManager::onConnectionAttempt(base::Time aNow,
                                         flow::Endpoint aEndpoint,
                                         flow::ConnectionOutcome aOutcome)
{
  const std::string_view before = mEvidence.describe(aNow);
  mEvidence.onAttempt(aEndpoint, aOutcome);
  if (aOutcome == flow::ConnectionOutcome::kRefused && aEndpoint == mSettings.mUpstreamAddress) {
    mUpstreamWatch.onRefusal();
  }
  const std::string_view after = mEvidence.describe(aNow);
  if (before == after) {
    return {};
  }
  return { telemetry::Event{ telemetry::EventKind::kOwnershipEvidence,
                             { { "address", aEndpoint.toString() },
                               { "connection", std::string(toString(aOutcome)) },
                               { "before", std::string(before) },
                               { "after", std::string(after) } } } };
}

Actions FlowManager::onOwnerLookupReply(base::Time aNow,
                                        flow::Endpoint aFrom,
                                        std::uint64_t aRevision,
                                        const wire::OwnerLookupReply& aReply)
{
  return mCandidateForwarder.ownerLookups().onReply(aNow, aFrom, aRevision, aReply);
}

} // namespace cornelcross::agent
