#include "admission/placement.hpp"

namespace cornelcross::admission {

namespace {

using wire::kNoCandidate;
using wire::PlacementRound;
using wire::PlacementState;

PlacementState remember(PlacementState aWalk, std::uint8_t aPosition, const CandidateState& aOffer)
{
  const bool isBetter =
    aWalk.mBestCandidate == kNoCandidate || aOffer.mFreeCapacity > aWalk.mBestFreeCapacity;
  if (aOffer.mIsEligible && isBetter) {
    aWalk.mBestCandidate = aPosition;
    aWalk.mBestFreeCapacity = aOffer.mFreeCapacity;
  }
  return aWalk;
}

PlacementDecision settle(std::uint8_t aPosition,
                         const PlacementState& aWalk,
                         const CandidateState& aOffer)
{
  if (aWalk.mBestCandidate == kNoCandidate) {
    return Refuse{};
  }
  if (aWalk.mBestCandidate != aPosition) {
    return ForwardTo{ aWalk.mBestCandidate, aWalk };
  }
  if (!aOffer.mIsEligible) {
    return Refuse{};
  }
  return aOffer.mFreeCapacity > 0 ? PlacementDecision(Admit{}) : PlacementDecision(Enqueue{});
}

} // namespace

// The first round is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
// 2018): each candidate compares its own exact load with the service's mean, which changes slowly
// enough to be known from reports. The flow collects fresh room on its way, so that the second
// round needs one hop and no report.
PlacementDecision decidePlacement(const PlacementState& aWalk,
                                  std::uint8_t aPosition,
                                  std::uint8_t aCount,
                                  const CandidateState& aOffer)
{
  if (aWalk.mRound == PlacementRound::kBestCandidate) {
    return settle(aPosition, aWalk, aOffer);
  }
  if (aOffer.mIsEligible && aOffer.mIsWithinLoadBound && aOffer.mFreeCapacity > 0) {
    return Admit{};
  }
  PlacementState walk = remember(aWalk, aPosition, aOffer);
  if (aPosition + 1 < aCount) {
    return ForwardTo{ static_cast<std::uint8_t>(aPosition + 1), walk };
  }
  walk.mRound = PlacementRound::kBestCandidate;
  return settle(aPosition, walk, aOffer);
}

} // namespace cornelcross::admission
