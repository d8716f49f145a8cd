#include "agent/flow_record.hpp"

#include "flow/sequence.hpp"

namespace cornelcross::agent {

bool isNewPayload(const FlowRecord& aRecord, const flow::TcpPacket& aPacket)
{
  const std::uint32_t end = aPacket.mSequence + aPacket.mPayloadLength;
  return aPacket.mPayloadLength > 0 &&
         (!aRecord.mIsCallerNextValid || flow::isSequenceAfter(end, aRecord.mCallerNextSequence));
}

void recordCallerPacket(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext)
{
  if (!aRecord.mIsCallerNextValid || flow::isSequenceAfter(aNext, aRecord.mCallerNextSequence)) {
    aRecord.mCallerNextSequence = aNext;
  }
  aRecord.mIsCallerNextValid = true;
  aRecord.mLastCallerPacketAt = aNow;
  aRecord.mUnansweredCallerProbes = 0;
}

void recordUpstreamPacket(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext)
{
  if (!aRecord.mIsUpstreamNextValid ||
      flow::isSequenceAfter(aNext, aRecord.mUpstreamNextSequence)) {
    aRecord.mUpstreamNextSequence = aNext;
  }
  aRecord.mIsUpstreamNextValid = true;
  aRecord.mLastPacketAt = aNow;
  aRecord.mLastUpstreamPacketAt = aNow;
  aRecord.mUnansweredUpstreamProbes = 0;
}

} // namespace cornelcross::agent
