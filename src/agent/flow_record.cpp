#include "agent/flow_record.hpp"

#include "flow/sequence.hpp"

namespace cornelcross::agent {

bool isNewPayload(const FlowRecord& aRecord, const flow::TcpPacket& aPacket)
{
  const std::uint32_t end = aPacket.mSequence + aPacket.mPayloadLength;
  return aPacket.mPayloadLength > 0 &&
         (!aRecord.mKnowsCallerNext || flow::isSequenceAfter(end, aRecord.mCallerNext));
}

void noteCaller(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext)
{
  if (!aRecord.mKnowsCallerNext || flow::isSequenceAfter(aNext, aRecord.mCallerNext)) {
    aRecord.mCallerNext = aNext;
  }
  aRecord.mKnowsCallerNext = true;
  aRecord.mLastCaller = aNow;
  aRecord.mCallerProbes = 0;
}

void noteUpstream(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext)
{
  if (!aRecord.mKnowsUpstreamNext || flow::isSequenceAfter(aNext, aRecord.mUpstreamNext)) {
    aRecord.mUpstreamNext = aNext;
  }
  aRecord.mKnowsUpstreamNext = true;
  aRecord.mLastSeen = aNow;
  aRecord.mLastUpstream = aNow;
  aRecord.mUpstreamProbes = 0;
}

} // namespace cornelcross::agent
