#include "routing/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace cornelcross::routing {

namespace {

struct Score
{
  double mValue;
  std::size_t mIndex;
};

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
std::uint64_t mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xBF58476D1CE4E5B9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94D049BB133111EBULL;
  aValue ^= aValue >> 31U;
  return aValue;
}

/// Lower is better: an exponential variable with the weight as its rate.
double scoreOf(const config::Upstream& aUpstream, std::uint64_t aFlowHash)
{
  constexpr double kUnit = 0x1.0p-53;
  const std::uint64_t bits = mix(aFlowHash ^ aUpstream.mIdentity) >> 11U;
  const double uniform = (static_cast<double>(bits) + 0.5) * kUnit;
  return -std::log(uniform) / aUpstream.mWeight;
}

bool isBetter(const Score& aLeft, const Score& aRight)
{
  return aLeft.mValue != aRight.mValue ? aLeft.mValue < aRight.mValue
                                       : aLeft.mIndex < aRight.mIndex;
}

} // namespace

std::vector<std::size_t> rank(const config::Service& aService,
                              std::uint64_t aFlowHash,
                              std::size_t aLimit)
{
  std::vector<Score> scores;
  scores.reserve(aService.mUpstreams.size());
  for (std::size_t i = 0; i < aService.mUpstreams.size(); ++i) {
    scores.push_back({ scoreOf(aService.mUpstreams[i], aFlowHash), i });
  }
  const std::size_t count = std::min(aLimit, scores.size());
  const auto middle = scores.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(scores.begin(), middle, scores.end(), isBetter);
  std::vector<std::size_t> order;
  order.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    order.push_back(scores[i].mIndex);
  }
  return order;
}

} // namespace cornelcross::routing
