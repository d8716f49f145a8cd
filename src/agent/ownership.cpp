#include "agent/flow_manager.hpp"

// Members of FlowManager that answer which flows the upstream owns.
namespace cornelcross::agent {

// A half-open record proves nothing: the caller may have acknowledged the SYN of another upstream.
wire::FlowOwnership FlowManager::ownershipOf(base::Time aNow, const flow::FlowKey& aFlow) const
{
  const FlowRecord* record = mFlows.find(aFlow);
  if (record != nullptr) {
    return record->mState == FlowState::kHalfOpen ? wire::FlowOwnership::kUnknown
                                                  : wire::FlowOwnership::kOwned;
  }
  const bool isServed = mUpstream && mConfiguration->serves(mServiceName, aFlow.mService) &&
                        mConfiguration->acceptsPackets(*mUpstream);
  const bool isDenied = areRecordsComplete(aNow) || mUpstreamQueries.isDenied(aNow, aFlow);
  return isServed && isDenied ? wire::FlowOwnership::kDenied : wire::FlowOwnership::kUnknown;
}

Actions FlowManager::onOwnerLookup(base::Time aNow,
                                   flow::Endpoint aFrom,
                                   const wire::OwnerLookup& aLookup) const
{
  wire::OwnerLookupReply reply{ aLookup.mRound, {} };
  reply.mOwnerships.reserve(aLookup.mFlows.size());
  for (const flow::FlowKey& flow : aLookup.mFlows) {
    reply.mOwnerships.push_back(ownershipOf(aNow, flow));
  }
  return { SendMessage{ aFrom, std::move(reply) } };
}

Actions FlowManager::onOwnerLookupReply(base::Time aNow,
                                        flow::Endpoint aFrom,
                                        std::uint64_t aRevision,
                                        const wire::OwnerLookupReply& aReply)
{
  return mCandidateForwarder.ownerLookups().onReply(aNow, aFrom, aRevision, aReply);
}

} // namespace cornelcross::agent
