#include "membership/confirmation.hpp"

#include <algorithm>

namespace cornelcross::membership {

void Confirmation::begin(base::Time aNow)
{
  mIsConfirmed = false;
  mHasTimedOut = false;
  mHasConfirmedReply = false;
  mHasServiceAnswer = false;
  mTarget = 0;
  mReached = 0;
  mProgressAt = aNow;
  mAskedAt = aNow;
  mWaitingFor.clear();
}

void Confirmation::asked(base::Time aNow, flow::Endpoint aPeer)
{
  // The time to answer counts from the first question; later ones replace peers that are silent.
  if (mWaitingFor.empty()) {
    mAskedAt = aNow;
  }
  mWaitingFor.insert(aPeer);
}

void Confirmation::replied(flow::Endpoint aPeer, std::uint64_t aRevision, bool aIsConfirmed)
{
  mWaitingFor.erase(aPeer);
  mTarget = std::max(mTarget, aRevision);
  mHasConfirmedReply = mHasConfirmedReply || aIsConfirmed;
}

void Confirmation::serviceAnswered(std::uint64_t aRevision)
{
  mTarget = std::max(mTarget, aRevision);
  mHasServiceAnswer = true;
}

bool Confirmation::holds(base::Time aNow, std::uint64_t aRevision) const
{
  if (aRevision < mTarget) {
    return false;
  }
  const bool peersAreDone = mWaitingFor.empty() || aNow - mAskedAt >= mSettings.mPeerReplyTimeout;
  if (mHasServiceAnswer && mSettings.mServiceIsLinearizable) {
    return true;
  }
  return mHasConfirmedReply || (mHasServiceAnswer && peersAreDone);
}

bool Confirmation::update(base::Time aNow, std::uint64_t aRevision)
{
  if (mIsConfirmed || aRevision == 0) {
    return false;
  }
  // A fresh process takes a large configuration in parts: the zones may come last.
  if (aRevision > mReached && aRevision < mTarget) {
    mProgressAt = aNow;
  }
  mReached = aRevision;
  const bool isOver = aNow - mProgressAt >= mSettings.mConfirmTimeout;
  const bool isMet = holds(aNow, aRevision);
  mIsConfirmed = isMet || isOver;
  mHasTimedOut = isOver && !isMet;
  return mIsConfirmed;
}

} // namespace cornelcross::membership
