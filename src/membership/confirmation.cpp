#include "membership/confirmation.hpp"

#include <algorithm>

namespace cornelcross::membership {

void Confirmation::startRound(base::Time aNow)
{
  mIsConfirmed = false;
  mHasTimedOut = false;
  mHasConfirmedReply = false;
  mHasServiceResponse = false;
  mIsServiceCurrent = false;
  mTargetRevision = 0;
  mReachedRevision = 0;
  mLastProgress = aNow;
  mFirstQuerySent = aNow;
  mPendingPeers.clear();
}

void Confirmation::onQuerySent(base::Time aNow, flow::Endpoint aPeer)
{
  // The reply timeout counts from the first query: later queries go to other peers and replace
  // those that do not reply.
  if (mPendingPeers.empty()) {
    mFirstQuerySent = aNow;
  }
  mPendingPeers.insert(aPeer);
}

void Confirmation::onReply(flow::Endpoint aPeer, std::uint64_t aRevision, bool aIsConfirmed)
{
  mPendingPeers.erase(aPeer);
  mTargetRevision = std::max(mTargetRevision, aRevision);
  mHasConfirmedReply = mHasConfirmedReply || aIsConfirmed;
}

void Confirmation::onServiceResponse(std::uint64_t aRevision, bool aIsCurrent)
{
  mTargetRevision = std::max(mTargetRevision, aRevision);
  mHasServiceResponse = true;
  mIsServiceCurrent = mIsServiceCurrent || aIsCurrent;
}

bool Confirmation::isConditionMet(base::Time aNow, std::uint64_t aRevision) const
{
  if (aRevision < mTargetRevision) {
    return false;
  }
  const bool areRepliesComplete =
    mPendingPeers.empty() || aNow - mFirstQuerySent >= mSettings.mPeerReplyTimeout;
  if (mIsServiceCurrent && mSettings.mServiceIsLinearizable) {
    return true;
  }
  return mHasConfirmedReply || (mHasServiceResponse && areRepliesComplete);
}

bool Confirmation::update(base::Time aNow, std::uint64_t aRevision)
{
  if (mIsConfirmed || aRevision == 0) {
    return false;
  }
  // A process that starts receives a large configuration in several batches, and the zones may
  // arrive in the last: it must not act by timeout while it still makes progress.
  if (aRevision > mReachedRevision && aRevision < mTargetRevision) {
    mLastProgress = aNow;
  }
  mReachedRevision = aRevision;
  const bool isExpired = aNow - mLastProgress >= mSettings.mConfirmationTimeout;
  const bool isMet = isConditionMet(aNow, aRevision);
  mIsConfirmed = isMet || isExpired;
  mHasTimedOut = isExpired && !isMet;
  return mIsConfirmed;
}

} // namespace cornelcross::membership
