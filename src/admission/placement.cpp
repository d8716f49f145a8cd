#include "admission/placement.hpp"

namespace cornelcross::admission {

namespace {

using wire::kNoCandidate;
using wire::PlacementRound;
using wire::PlacementState;

PlacementState updateBestCandidate(PlacementState aPlacement,
                                   std::uint8_t aCandidateIndex,
                                   const CandidateState& aState)
{
  const bool isBetter = aPlacement.mBestCandidate == kNoCandidate ||
                        aState.mFreeCapacity > aPlacement.mBestFreeCapacity;
  if (aState.mIsEligible && isBetter) {
    aPlacement.mBestCandidate = aCandidateIndex;
    aPlacement.mBestFreeCapacity = aState.mFreeCapacity;
  }
  return aPlacement;
}

PlacementDecision placeOnBestCandidate(std::uint8_t aCandidateIndex,
                                       const PlacementState& aPlacement,
                                       const CandidateState& aState)
{
  if (aPlacement.mBestCandidate == kNoCandidate) {
    return Refuse{};
  }
  if (aPlacement.mBestCandidate != aCandidateIndex) {
    return ForwardTo{ aPlacement.mBestCandidate, aPlacement };
  }
  if (!aState.mIsEligible) {
    return Refuse{};
  }
  return aState.mFreeCapacity > 0 ? PlacementDecision(Admit{}) : PlacementDecision(Enqueue{});
}

} // namespace

// The first round is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
// 2018): each candidate compares its own exact load with the service's mean, which changes slowly
// enough that load reports convey it. The packet records the best free capacity that it encounters,
// so that the second round takes one hop and needs no load report.
PlacementDecision decidePlacement(const PlacementState& aPlacement,
                                  std::uint8_t aCandidateIndex,
                                  std::uint8_t aCandidateCount,
                                  const CandidateState& aState)
{
  if (aPlacement.mRound == PlacementRound::kBestCandidate) {
    return placeOnBestCandidate(aCandidateIndex, aPlacement, aState);
  }
  if (aState.mIsEligible && aState.mIsWithinLoadBound && aState.mFreeCapacity > 0) {
    return Admit{};
  }
  PlacementState placement = updateBestCandidate(aPlacement, aCandidateIndex, aState);
  if (aCandidateIndex + 1 < aCandidateCount) {
    return ForwardTo{ static_cast<std::uint8_t>(aCandidateIndex + 1), placement };
  }
  placement.mRound = PlacementRound::kBestCandidate;
  return placeOnBestCandidate(aCandidateIndex, placement, aState);
}

} // namespace cornelcross::admission
