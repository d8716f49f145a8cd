#include "agent/keep_alive.hpp"

namespace cornelcross::agent {

namespace {

/// Probes that must have gone unanswered before a flow is given up, since a silence may also have
/// been a pause of this process.
constexpr std::uint32_t kMinKeepAlives = 3;

} // namespace

bool KeepAlive::isGone(base::Duration aSilence, std::uint32_t aProbes) const
{
  return aSilence >= mSettings.mSilenceTimeout && aProbes >= kMinKeepAlives;
}

bool KeepAlive::check(base::Time aNow,
                      const flow::FlowKey& aFlow,
                      flow::Endpoint aUpstream,
                      FlowRecord& aRecord,
                      Actions& aActions)
{
  const bool isKnown = aRecord.mKnowsUpstreamNext && aRecord.mKnowsCallerNext;
  if (aRecord.mState != FlowState::kEstablished || !isKnown) {
    return false;
  }
  const base::Duration callerSilence = aNow - aRecord.mLastCaller;
  const base::Duration upstreamSilence = aNow - aRecord.mLastUpstream;
  const bool isCallerSilent = callerSilence >= mSettings.mInterval;
  const bool isUpstreamSilent = upstreamSilence >= mSettings.mInterval;
  if (!isCallerSilent && !isUpstreamSilent) {
    return false;
  }
  const bool isGivenUp = isGone(callerSilence, aRecord.mCallerProbes) ||
                         isGone(upstreamSilence, aRecord.mUpstreamProbes);
  if (!isGivenUp && (aNow - aRecord.mLastKeepAlive < mSettings.mInterval || mLeft == 0)) {
    return false;
  }
  // One byte before what is expected next: answered with an ACK (RFC 9293, section 3.8.4).
  const std::uint32_t back = isGivenUp ? 0 : 1;
  const std::uint8_t flags = isGivenUp ? flow::kRst | flow::kAck : flow::kAck;
  const std::uint32_t toCaller = aRecord.mUpstreamNext - back;
  const std::uint32_t toUpstream = aRecord.mCallerNext - back;
  if (isGivenUp || isCallerSilent) {
    aActions.emplace_back(SendToCaller{ flow::makeEmptySegment(
      aFlow.mService, aFlow.mCaller, flags, toCaller, aRecord.mCallerNext) });
    ++aRecord.mCallerProbes;
  }
  if (isGivenUp || isUpstreamSilent) {
    aActions.emplace_back(DeliverToUpstream{
      aUpstream,
      flow::makeEmptySegment(
        aFlow.mCaller, aFlow.mService, flags, toUpstream, aRecord.mUpstreamNext) });
    ++aRecord.mUpstreamProbes;
  }
  aRecord.mLastKeepAlive = aNow;
  mLeft -= mLeft > 0 ? 1 : 0;
  return isGivenUp;
}

} // namespace cornelcross::agent
