#include "agent/flow_manager.hpp"

#include "base/safety_mechanisms.hpp"

#include <utility>

/// The part of the decisions that handles what the upstream sends.
namespace cornelcross::agent {

Actions FlowManager::onUpstreamPacket(base::Time aNow, flow::Bytes aPacket)
{
  const auto packet = mPacketFormat.mParse(aPacket);
  if (!packet) {
    return { DropPacket{ DropReason::kMalformed } };
  }
  if (packet->mIsReturned) {
    return onReturned(aNow, *packet, std::move(aPacket));
  }
  FlowRecord* record = mFlows.find(packet->keyFromUpstream());
  const bool isServed = record != nullptr || mConfiguration->serves(mServiceName, packet->mSource);
  if (!mUpstream || !isServed) {
    return { DropPacket{ DropReason::kForeignService } };
  }
  if (!mConfiguration->acceptsPackets(*mUpstream)) {
    return { DropPacket{ DropReason::kZoneOut } };
  }
  if (record == nullptr) {
    return onUnrecordedAnswer(aNow, *packet, std::move(aPacket));
  }
  return packet->has(flow::kRst) ? onUpstreamReset(aNow, *record, *packet, std::move(aPacket))
                                 : onAnswer(aNow, *record, *packet, std::move(aPacket));
}

Actions FlowManager::onUnrecordedAnswer(base::Time aNow,
                                        const flow::TcpPacket& aPacket,
                                        flow::Bytes aBytes)
{
  const flow::FlowKey key = aPacket.keyFromUpstream();
  if (aPacket.has(flow::kRst) && mUpstreamQueries.onReset(aNow, key) == ResetVerdict::kHold) {
    return { DropPacket{ DropReason::kNotOwned } };
  }
  if (aPacket.has(flow::kSyn)) {
    return { DropPacket{ DropReason::kNoRecord } };
  }
  if (aPacket.has(flow::kRst) || !base::safetyMechanisms().mAdoptFlows) {
    return { SendToCaller{ std::move(aBytes) } };
  }
  // The agent restarted beside a living upstream: what the upstream sends, it owns.
  FlowRecord adopted;
  adopted.mState = FlowState::kEstablished;
  adopted.mIsAdopted = true;
  FlowRecord& record = mFlows.insert(key, adopted);
  mUpstreamQueries.erase(key);
  mAdmission.onFlowAdopted(aNow);
  Actions actions = onAnswer(aNow, record, aPacket, std::move(aBytes));
  actions.insert(
    actions.begin(),
    telemetry::Event{ telemetry::EventKind::kFlowAdopted, { { "flow", key.toString() } } });
  return actions;
}

Actions FlowManager::onUpstreamReset(base::Time aNow,
                                     const FlowRecord& aRecord,
                                     const flow::TcpPacket& aPacket,
                                     flow::Bytes aBytes)
{
  const flow::FlowKey key = aPacket.keyFromUpstream();
  Actions actions;
  if (aRecord.mState == FlowState::kHalfOpen && !aRecord.mIsAnswered) {
    // Nothing ran. The caller's next SYN finds the flow without a record and goes elsewhere.
    mUpstreamWatch.noteRefused(aNow);
    actions.emplace_back(close(aNow, key, aRecord, "upstream_refused"));
    mFlows.erase(key);
    return actions;
  }
  if (aRecord.mIsBusy || !aRecord.mIsAnswered) {
    mAdmission.onUpstreamReset(aNow);
  }
  actions.emplace_back(SendToCaller{ std::move(aBytes) });
  actions.emplace_back(close(aNow, key, aRecord, "upstream_reset"));
  mFlows.erase(key);
  release(aNow, actions);
  return actions;
}

Actions FlowManager::onAnswer(base::Time aNow,
                              FlowRecord& aRecord,
                              const flow::TcpPacket& aPacket,
                              flow::Bytes aBytes)
{
  Actions actions;
  if (aPacket.has(flow::kSyn)) {
    if (mPacketFormat.mClampMss) {
      mPacketFormat.mClampMss(aBytes, aPacket, mSettings.mMaxSegmentBytes);
    }
    acceptSyn(aNow, aPacket, aRecord, actions);
  }
  actions.emplace_back(SendToCaller{ std::move(aBytes) });
  noteUpstream(aNow, aRecord, aPacket.nextSequence());
  if (!aRecord.mKnowsCallerNext && aPacket.has(flow::kAck)) {
    noteCaller(aNow, aRecord, aPacket.mAcknowledgement);
  }
  trackUpstreamPayload(aNow, aRecord, aPacket);
  aRecord.mHasUpstreamFin = aRecord.mHasUpstreamFin || aPacket.has(flow::kFin);
  if (aRecord.mHasCallerFin && aRecord.mHasUpstreamFin) {
    beginClosing(aNow, aRecord);
  }
  release(aNow, actions);
  return actions;
}

void FlowManager::acceptSyn(base::Time aNow,
                            const flow::TcpPacket& aPacket,
                            FlowRecord& aRecord,
                            Actions& aActions)
{
  mUpstreamWatch.noteAccepted();
  if (!aRecord.mIsAnswered && aRecord.mIsExpected && mObservers.mOnAccepted) {
    mObservers.mOnAccepted(aNow - aRecord.mBusySince);
  }
  const bool isRenewed =
    aRecord.mPendingInitial != 0 && aPacket.mAcknowledgement == aRecord.mPendingInitial + 1;
  if (isRenewed) {
    // The upstream had lost the connection of which this record tells: a new one took its place.
    aActions.emplace_back(close(aNow, aPacket.keyFromUpstream(), aRecord, "port_reused"));
    const std::uint32_t initial = aRecord.mPendingInitial;
    aRecord = FlowRecord{};
    aRecord.mCallerInitial = initial;
    mAdmission.onFlowAdopted(aNow);
  }
  aRecord.mIsAnswered = true;
}

void FlowManager::trackUpstreamPayload(base::Time aNow,
                                       FlowRecord& aRecord,
                                       const flow::TcpPacket& aPacket)
{
  if (aPacket.mPayloadLength == 0) {
    return;
  }
  aRecord.mIsOneWay = false;
  if (!aRecord.mIsBusy) {
    return;
  }
  aRecord.mIsBusy = false;
  mAdmission.onRequestAnswered(aNow, aNow - aRecord.mBusySince);
  if (mObservers.mOnAnswered) {
    mObservers.mOnAnswered(aNow - aRecord.mBusySince);
  }
}

} // namespace cornelcross::agent
