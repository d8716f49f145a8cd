#include "routing/ranking.hpp"

#include "routing/fixed_log.hpp"

#include <algorithm>
#include <array>

namespace cornelcross::routing {

namespace {

struct Score
{
  std::uint64_t mValue; ///< the lowest value ranks first
  std::size_t mIndex;
};

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
std::uint64_t mixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xBF58476D1CE4E5B9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94D049BB133111EBULL;
  aValue ^= aValue >> 31U;
  return aValue;
}

/// Inserts aScore into the sorted first aCount elements of aBest. Beyond aLimit elements the worst
/// score is dropped. @return the new number of elements
std::size_t insertScore(std::vector<Score>& aBest,
                        std::size_t aCount,
                        std::size_t aLimit,
                        Score aScore)
{
  if (aCount == aLimit && aScore.mValue >= aBest[aCount - 1].mValue) {
    return aCount;
  }
  std::size_t position = aCount < aLimit ? aCount : aCount - 1;
  for (; position > 0 && aBest[position - 1].mValue > aScore.mValue; --position) {
    aBest[position] = aBest[position - 1];
  }
  aBest[position] = aScore;
  return std::min(aCount + 1, aLimit);
}

} // namespace

Ranking::Ranking(const config::Service& aService)
  : Ranking(aService, [](const config::Upstream&) { return true; })
{
}

Ranking::Ranking(const config::Service& aService,
                 const std::function<bool(const config::Upstream&)>& aIsIncluded)
{
  std::uint32_t index = 0;
  for (const auto& upstream : aService.mUpstreams) {
    mHasUniformWeights =
      mHasUniformWeights && upstream.mWeight == aService.mUpstreams.front().mWeight;
    if (aIsIncluded(upstream)) {
      mEntries.push_back({ upstream.mIdentity, upstream.mWeight, index });
    }
    ++index;
  }
}

std::uint64_t Ranking::score(const Entry& aEntry, std::uint64_t aFlowHash) const
{
  constexpr unsigned kWeightBits = 20;
  const std::uint64_t hash = mixBits(aFlowHash ^ aEntry.mIdentity);
  // With equal weights the logarithm preserves the order of the hashes and can be omitted.
  return mHasUniformWeights ? ~hash : (negativeLog2(hash) << kWeightBits) / aEntry.mWeight;
}

void Ranking::rank(std::uint64_t aFlowHash,
                   std::size_t aLimit,
                   std::vector<std::size_t>& aIndices) const
{
  const std::size_t limit = std::min(aLimit, mEntries.size());
  if (limit == 0) {
    return;
  }
  // Reused across calls to avoid an allocation for each packet.
  thread_local std::vector<Score> best;
  best.resize(limit);
  std::size_t count = 0;
  for (const Entry& entry : mEntries) {
    count = insertScore(best, count, limit, { score(entry, aFlowHash), entry.mIndex });
  }
  for (std::size_t i = 0; i < count; ++i) {
    aIndices.push_back(best[i].mIndex);
  }
}

} // namespace cornelcross::routing
