#include "agent/keep_alive_prober.hpp"

namespace cornelcross::agent {

namespace {

/// Unanswered probes before a flow is reset, since the silence may result from a pause of this
/// process.
constexpr std::uint32_t kMinUnansweredProbes = 3;

} // namespace

bool KeepAliveProber::hasTimedOut(base::Duration aSilence, std::uint32_t aProbes) const
{
  return aSilence >= mSettings.mSilenceTimeout && aProbes >= kMinUnansweredProbes;
}

bool KeepAliveProber::probeFlow(base::Time aNow,
                                const flow::FlowKey& aFlow,
                                flow::Endpoint aUpstream,
                                FlowRecord& aRecord,
                                Actions& aActions)
{
  const bool isKnown = aRecord.mIsUpstreamNextValid && aRecord.mIsCallerNextValid;
  if (aRecord.mState != FlowState::kEstablished || !isKnown) {
    return false;
  }
  const base::Duration callerSilence = aNow - aRecord.mLastCallerPacketAt;
  const base::Duration upstreamSilence = aNow - aRecord.mLastUpstreamPacketAt;
  const bool isCallerSilent = callerSilence >= mSettings.mInterval;
  const bool isUpstreamSilent = upstreamSilence >= mSettings.mInterval;
  if (!isCallerSilent && !isUpstreamSilent) {
    return false;
  }
  const bool isUnresponsive = hasTimedOut(callerSilence, aRecord.mUnansweredCallerProbes) ||
                              hasTimedOut(upstreamSilence, aRecord.mUnansweredUpstreamProbes);
  if (!isUnresponsive &&
      (aNow - aRecord.mLastKeepAliveProbeAt < mSettings.mInterval || mFlowsLeft == 0)) {
    return false;
  }
  // A segment one byte before the next expected sequence number is answered with an ACK (RFC 9293,
  // section 3.8.4).
  const std::uint32_t back = isUnresponsive ? 0 : 1;
  const std::uint8_t flags = isUnresponsive ? flow::kRst | flow::kAck : flow::kAck;
  const std::uint32_t toCaller = aRecord.mUpstreamNextSequence - back;
  const std::uint32_t toUpstream = aRecord.mCallerNextSequence - back;
  if (isUnresponsive || isCallerSilent) {
    aActions.emplace_back(SendToCaller{ flow::makeEmptySegment(
      aFlow.mService, aFlow.mCaller, flags, toCaller, aRecord.mCallerNextSequence) });
    ++aRecord.mUnansweredCallerProbes;
  }
  if (isUnresponsive || isUpstreamSilent) {
    aActions.emplace_back(DeliverToUpstream{
      aUpstream,
      flow::makeEmptySegment(
        aFlow.mCaller, aFlow.mService, flags, toUpstream, aRecord.mUpstreamNextSequence) });
    ++aRecord.mUnansweredUpstreamProbes;
  }
  aRecord.mLastKeepAliveProbeAt = aNow;
  mFlowsLeft -= mFlowsLeft > 0 ? 1 : 0;
  return isUnresponsive;
}

} // namespace cornelcross::agent
