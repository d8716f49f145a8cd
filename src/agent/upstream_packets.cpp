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
    return onReturnedPacket(aNow, *packet, std::move(aPacket));
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
    return onUnrecordedUpstreamSegment(aNow, *packet, std::move(aPacket));
  }
  return packet->has(flow::kRst) ? onUpstreamReset(aNow, *record, *packet, std::move(aPacket))
                                 : onUpstreamSegment(aNow, *record, *packet, std::move(aPacket));
}

Actions FlowManager::onUnrecordedUpstreamSegment(base::Time aNow,
                                                 const flow::TcpPacket& aPacket,
                                                 flow::Bytes aBytes)
{
  const flow::FlowKey key = aPacket.keyFromUpstream();
  if (aPacket.has(flow::kRst) && mUpstreamQueries.onReset(aNow, key) == ResetHandling::kSuppress) {
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
  Actions actions = onUpstreamSegment(aNow, record, aPacket, std::move(aBytes));
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
  if (aRecord.mState == FlowState::kHalfOpen && !aRecord.mHasSynAck) {
    // Nothing ran. The caller's next SYN finds the flow without a record and goes elsewhere.
    mUpstreamHealth.recordRefusal(aNow);
    actions.emplace_back(closeFlow(aNow, key, aRecord, "upstream_refused"));
    mFlows.erase(key);
    return actions;
  }
  if (aRecord.mHasActiveRequest || !aRecord.mHasSynAck) {
    mAdmission.onUpstreamReset(aNow);
  }
  actions.emplace_back(SendToCaller{ std::move(aBytes) });
  actions.emplace_back(closeFlow(aNow, key, aRecord, "upstream_reset"));
  mFlows.erase(key);
  dequeue(aNow, actions);
  return actions;
}

Actions FlowManager::onUpstreamSegment(base::Time aNow,
                                       FlowRecord& aRecord,
                                       const flow::TcpPacket& aPacket,
                                       flow::Bytes aBytes)
{
  Actions actions;
  if (aPacket.has(flow::kSyn)) {
    if (mPacketFormat.mClampMss) {
      mPacketFormat.mClampMss(aBytes, aPacket, mSettings.mMaxSegmentBytes);
    }
    onSynAck(aNow, aPacket, aRecord, actions);
  }
  actions.emplace_back(SendToCaller{ std::move(aBytes) });
  recordUpstreamPacket(aNow, aRecord, aPacket.nextSequence());
  if (!aRecord.mIsCallerNextValid && aPacket.has(flow::kAck)) {
    recordCallerPacket(aNow, aRecord, aPacket.mAcknowledgement);
  }
  trackUpstreamPayload(aNow, aRecord, aPacket);
  aRecord.mHasUpstreamFin = aRecord.mHasUpstreamFin || aPacket.has(flow::kFin);
  if (aRecord.mHasCallerFin && aRecord.mHasUpstreamFin) {
    beginClosing(aNow, aRecord);
  }
  dequeue(aNow, actions);
  return actions;
}

void FlowManager::onSynAck(base::Time aNow,
                           const flow::TcpPacket& aPacket,
                           FlowRecord& aRecord,
                           Actions& aActions)
{
  mUpstreamHealth.recordSynAck();
  if (!aRecord.mHasSynAck && aRecord.mAwaitsFirstRequest && mMeasurementCallbacks.mOnFlowAccepted) {
    mMeasurementCallbacks.mOnFlowAccepted(aNow - aRecord.mRequestStartedAt);
  }
  const bool isNewConnection = aRecord.mPendingInitialSequence != 0 &&
                               aPacket.mAcknowledgement == aRecord.mPendingInitialSequence + 1;
  if (isNewConnection) {
    // The upstream had lost the connection of which this record tells: a new one took its place.
    aActions.emplace_back(closeFlow(aNow, aPacket.keyFromUpstream(), aRecord, "port_reused"));
    const std::uint32_t initial = aRecord.mPendingInitialSequence;
    aRecord = FlowRecord{};
    aRecord.mCallerInitialSequence = initial;
    mAdmission.onFlowAdopted(aNow);
  }
  aRecord.mHasSynAck = true;
}

void FlowManager::trackUpstreamPayload(base::Time aNow,
                                       FlowRecord& aRecord,
                                       const flow::TcpPacket& aPacket)
{
  if (aPacket.mPayloadLength == 0) {
    return;
  }
  aRecord.mIsUnidirectional = false;
  if (!aRecord.mHasActiveRequest) {
    return;
  }
  aRecord.mHasActiveRequest = false;
  mAdmission.onRequestAnswered(aNow, aNow - aRecord.mRequestStartedAt);
  if (mMeasurementCallbacks.mOnRequestAnswered) {
    mMeasurementCallbacks.mOnRequestAnswered(aNow - aRecord.mRequestStartedAt);
  }
}

} // namespace cornelcross::agent
