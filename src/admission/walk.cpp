#include "admission/walk.hpp"

namespace cornelcross::admission {

namespace {

using wire::kNoCandidate;
using wire::Round;
using wire::Walk;

Walk remember(Walk aWalk, std::uint8_t aPosition, const Offer& aOffer)
{
  const bool isBetter = aWalk.mBest == kNoCandidate || aOffer.mRoom > aWalk.mBestRoom;
  if (aOffer.mIsEligible && isBetter) {
    aWalk.mBest = aPosition;
    aWalk.mBestRoom = aOffer.mRoom;
  }
  return aWalk;
}

Step settle(std::uint8_t aPosition, const Walk& aWalk, const Offer& aOffer)
{
  if (aWalk.mBest == kNoCandidate) {
    return Refuse{};
  }
  if (aWalk.mBest != aPosition) {
    return PassTo{ aWalk.mBest, aWalk };
  }
  if (!aOffer.mIsEligible) {
    return Refuse{};
  }
  return aOffer.mRoom > 0 ? Step(Admit{}) : Step(Hold{});
}

} // namespace

// The first round is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
// 2018): each candidate compares its own exact load with the service's mean, which changes slowly
// enough to be known from reports. The flow collects fresh room on its way, so that the second
// round needs one hop and no report.
Step decide(const Walk& aWalk, std::uint8_t aPosition, std::uint8_t aCount, const Offer& aOffer)
{
  if (aWalk.mRound == Round::kSettle) {
    return settle(aPosition, aWalk, aOffer);
  }
  if (aOffer.mIsEligible && aOffer.mIsBelowBound && aOffer.mRoom > 0) {
    return Admit{};
  }
  Walk walk = remember(aWalk, aPosition, aOffer);
  if (aPosition + 1 < aCount) {
    return PassTo{ static_cast<std::uint8_t>(aPosition + 1), walk };
  }
  walk.mRound = Round::kSettle;
  return settle(aPosition, walk, aOffer);
}

} // namespace cornelcross::admission
