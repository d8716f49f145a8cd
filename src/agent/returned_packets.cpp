#include "agent/flow_manager.hpp"

#include <utility>

// Members of FlowManager that handle packets which the upstream returns.
namespace cornelcross::agent {

Actions FlowManager::deliverReturnable(flow::Bytes aPacket, const wire::Forward& aForward)
{
  if (mPacketFormat.returnsPackets()) {
    mPacketFormat.mSetTag(aPacket, mReturnablePackets.store(aForward));
  }
  return { DeliverToUpstream{ mUpstream->mAddress, std::move(aPacket) } };
}

// A packet of a living flow must not reach several upstreams that do not own it, whatever becomes
// of it on the way to its own. Only the agent that the balancer has cached as the owner delivers a
// packet to find out, one within the time in which an upstream returns it, and agents that a lookup
// selects: the lookup counts for the whole fleet.
bool FlowManager::mayQuery(base::Time aNow,
                           const flow::TcpPacket& aPacket,
                           const wire::Forward& aForward) const
{
  const bool isCachedOwner = aForward.mPage == wire::kNoPage && aForward.mHops == 0 &&
                             !mUpstreamQueries.isPending(aNow, aPacket.keyFromCaller());
  return aForward.mIsCopy || isCachedOwner;
}

// The upstream returns the packet if it does not own the flow. Forwarding to further candidates can
// therefore wait for the upstream without losing the packet.
Actions FlowManager::queryUpstream(base::Time aNow,
                                   const flow::TcpPacket& aPacket,
                                   wire::Forward aForward)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  const bool isKnown = mayDeny(aNow, key);
  if (isKnown || !mayQuery(aNow, aPacket, aForward) || !mUpstreamQueries.start(aNow, key, false)) {
    aForward.mIsDeniedByAll = aForward.mIsDeniedByAll && isKnown;
    if (!isKnown && aForward.mPage == wire::kNoPage) {
      aForward.mPossibleOwners = { mSettings.mSelf }; // the first that a lookup tries
    }
    return mCandidateForwarder.forward(aNow, aPacket, std::move(aForward));
  }
  // An agent that is queried at the same time as other agents does not have their results.
  aForward.mIsDeniedByAll =
    aForward.mIsDeniedByAll && aForward.mOwnershipQuery != wire::OwnershipQuery::kTentative;
  flow::Bytes packet = std::move(aForward.mPacket);
  return deliverReturnable(std::move(packet), aForward);
}

Actions FlowManager::onReturnedPacket(base::Time aNow,
                                      const flow::TcpPacket& aPacket,
                                      flow::Bytes aBytes)
{
  mPacketFormat.mClearReturnedMark(aBytes);
  const flow::FlowKey key = aPacket.keyFromCaller();
  FlowRecord* record = mFlows.find(key);
  Actions actions;
  if (record != nullptr && record->mState != FlowState::kHalfOpen) {
    // The upstream owned the flow and lost it in a restart.
    mAdmission.onUpstreamReset(aNow);
    actions.emplace_back(closeFlow(aNow, key, *record, "upstream_lost"));
    mFlows.erase(key);
    if (!aPacket.has(flow::kRst)) {
      actions.emplace_back(SendToCaller{ mPacketFormat.mMakeReset(aPacket) });
      actions.emplace_back(
        telemetry::Event{ telemetry::EventKind::kFlowReset,
                          { { "flow", key.toString() },
                            { "reason", "upstream_lost" },
                            { "verdict", std::string(toString(flow::RunVerdict::kMayHaveRun)) },
                            { "upstream", mUpstream->mName },
                            { "revision", std::to_string(revision()) } } });
    }
    return actions;
  }
  const bool isRefused = record != nullptr && aPacket.isInitialSyn() && !record->mHasSynAck;
  if (isRefused) {
    actions.emplace_back(closeFlow(aNow, key, *record, "upstream_refused"));
    mFlows.erase(key);
  }
  if (!aPacket.isInitialSyn()) {
    mUpstreamQueries.recordDenial(aNow, key);
  }
  std::optional<wire::Forward> forward = mReturnablePackets.take(aPacket.mTag);
  if (!forward) {
    actions.emplace_back(DropPacket{ DropReason::kNotOwned });
    return actions;
  }
  forward->mPacket = std::move(aBytes);
  forward->mPlacement = {};
  forward->mHops = aPacket.isInitialSyn() ? forward->mHops : std::uint8_t{ 1 };
  append(actions, mCandidateForwarder.forward(aNow, aPacket, std::move(*forward)));
  return actions;
}

Actions FlowManager::onUpstreamPacketWhileStarting(flow::Bytes aPacket) const
{
  const auto packet = mPacketFormat.mParse(aPacket);
  if (!packet || packet->mIsReturned || packet->has(flow::kSyn)) {
    return { DropPacket{ packet ? DropReason::kNoRecord : DropReason::kMalformed } };
  }
  return { SendToCaller{ std::move(aPacket) } };
}

} // namespace cornelcross::agent
