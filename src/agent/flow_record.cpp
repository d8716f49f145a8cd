#include "agent/flow_record.hpp"

namespace cornelcross::agent {

namespace {

/// True if aNext lies behind aLast in the circular space of sequence numbers (RFC 9293, 3.4).
bool isAhead(std::uint32_t aNext, std::uint32_t aLast)
{
  return static_cast<std::int32_t>(aNext - aLast) > 0;
}

} // namespace

void noteCaller(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext)
{
  if (!aRecord.mKnowsCallerNext || isAhead(aNext, aRecord.mCallerNext)) {
    aRecord.mCallerNext = aNext;
  }
  aRecord.mKnowsCallerNext = true;
  aRecord.mLastCaller = aNow;
  aRecord.mCallerProbes = 0;
}

void noteUpstream(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext)
{
  if (!aRecord.mKnowsUpstreamNext || isAhead(aNext, aRecord.mUpstreamNext)) {
    aRecord.mUpstreamNext = aNext;
  }
  aRecord.mKnowsUpstreamNext = true;
  aRecord.mLastSeen = aNow;
  aRecord.mLastUpstream = aNow;
  aRecord.mUpstreamProbes = 0;
}

} // namespace cornelcross::agent
