#include "agent/flow_manager.hpp"

#include "base/safety_mechanisms.hpp"

#include <utility>

// Members of FlowManager that handle packets of the upstream.
namespace cornelcross::agent {

namespace {

/// True if the SYN-ACK repeats that of an adopted connection, in response to a late copy of the
/// SYN, which the agent could not recognise. A new connection has another initial sequence number.
bool isRepeatedSynAck(const FlowRecord& aRecord, const flow::TcpPacket& aPacket)
{
  return aRecord.mIsAdopted && aRecord.mIsUpstreamNextValid &&
         aRecord.mUpstreamNextSequence - aPacket.nextSequence() <= kAckWindowBytes;
}

} // namespace

Actions FlowManager::onUpstreamPacket(base::Time aNow, flow::Bytes aPacket)
{
  mUpstreamWatch.onPacket();
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
  // The agent restarted beside a running upstream. The upstream owns every flow in which it sends.
  FlowRecord adopted;
  adopted.mState = FlowState::kEstablished;
  adopted.mIsAdopted = true;
  FlowRecord& record = mFlows.insert(key, adopted);
  mUpstreamQueries.erase(key);
  mAdmission.onFlowAdopted(aNow);
  Actions actions{ telemetry::Event{ telemetry::EventKind::kFlowAdopted,
                                     { { "flow", key.toString() } } } };
  append(actions, onUpstreamSegment(aNow, record, aPacket, std::move(aBytes)));
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
    // No request ran. The flow has no record when the caller retransmits the SYN, which is then
    // forwarded to another candidate.
    mUpstreamHealth.recordRefusal(aNow);
    actions.emplace_back(closeFlow(aNow, key, aRecord, "upstream_refused"));
    mFlows.erase(key);
    return actions;
  }
  if (aRecord.mHasActiveRequest || !aRecord.mHasSynAck) {
    mAdmission.onUpstreamReset(aNow);
  }
  if (aRecord.mHasActiveRequest) {
    mAdmission.onRequestReset();
    reportFailing(aNow, actions);
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
  reportFailing(aNow, actions);
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
  recordUpstreamAccepts(aNow, aActions);
  if (!aRecord.mHasSynAck && aRecord.mIsAwaitingFirstRequest &&
      mMeasurementCallbacks.mOnFlowAccepted) {
    mMeasurementCallbacks.mOnFlowAccepted(aNow - aRecord.mRequestStartedAt);
  }
  const bool isPending = aRecord.mPendingInitialSequence != 0 &&
                         aPacket.mAcknowledgement == aRecord.mPendingInitialSequence + 1;
  if (isPending && isRepeatedSynAck(aRecord, aPacket)) {
    aRecord.mCallerInitialSequence = std::exchange(aRecord.mPendingInitialSequence, 0);
  } else if (isPending) {
    // The upstream lost the recorded connection and accepted a new one with the same port.
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
