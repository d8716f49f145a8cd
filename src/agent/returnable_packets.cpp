#include "agent/returnable_packets.hpp"

#include <utility>

namespace cornelcross::agent {

std::uint32_t ReturnablePackets::remember(const wire::Forward& aForward)
{
  mLast = mLast == UINT32_MAX ? 1 : mLast + 1;
  Entry& entry = mEntries[mLast % mEntries.size()];
  entry.mTag = mLast;
  wire::Forward& kept = entry.mForward;
  kept.mIngress = aForward.mIngress;
  kept.mService = aForward.mService;
  kept.mPosition = aForward.mPosition;
  kept.mChunk = aForward.mChunk;
  kept.mIsComplete = aForward.mIsComplete;
  kept.mIsUnanimous = aForward.mIsUnanimous;
  kept.mIsCopy = aForward.mIsCopy;
  kept.mHops = aForward.mHops;
  kept.mWalk = aForward.mWalk;
  kept.mInquiry = aForward.mInquiry;
  kept.mUnsure = aForward.mUnsure;
  kept.mCandidates = aForward.mCandidates;
  return mLast;
}

std::optional<wire::Forward> ReturnablePackets::take(std::uint32_t aTag)
{
  Entry& entry = mEntries[aTag % mEntries.size()];
  if (aTag == 0 || entry.mTag != aTag) {
    return std::nullopt;
  }
  entry.mTag = 0;
  return std::move(entry.mForward);
}

} // namespace cornelcross::agent
