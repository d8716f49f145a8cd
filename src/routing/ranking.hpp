#pragma once

#include "config/service.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace cornelcross::routing {

/// @brief Orders the upstreams of one service for each flow by weighted rendezvous hashing. Scores
/// are independent of the states of the upstreams, so that a state change does not reorder them.
///
/// Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998); weights as in
/// Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005).
class Ranking
{
public:
  /// @brief Ranks every upstream of aService.
  explicit Ranking(const config::Service& aService);

  /// @brief Ranks only the upstreams for which aIsIncluded holds, in the same relative order as
  /// among all upstreams.
  Ranking(const config::Service& aService,
          const std::function<bool(const config::Upstream&)>& aIsIncluded);

  /// @brief Number of ranked upstreams.
  std::size_t size() const { return mEntries.size(); }

  /// @brief Appends the first-ranked upstreams for a flow to aIndices.
  /// @param aFlowHash hash of the flow's key
  /// @param aLimit    maximum number of appended elements
  /// @param aIndices  receives indices into the service's upstreams, best rank first
  /// @note O(n k) in the worst case for n upstreams and limit k, O(n + k^2) typically
  void rank(std::uint64_t aFlowHash, std::size_t aLimit, std::vector<std::size_t>& aIndices) const;

private:
  struct Entry
  {
    std::uint64_t mIdentity;
    std::uint32_t mWeight;
    std::uint32_t mIndex;
  };

  std::uint64_t score(const Entry& aEntry, std::uint64_t aFlowHash) const;

  std::vector<Entry> mEntries;
  bool mHasUniformWeights = true; ///< true if all upstreams of the service have the same weight
};

} // namespace cornelcross::routing
