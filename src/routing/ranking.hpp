#pragma once

#include "config/service.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace cornelcross::routing {

/// @brief Orders one service's upstreams for each flow by weighted rendezvous hashing over every
/// listed upstream, whatever its state, so that state changes move no rank.
///
/// Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998); weights as in
/// Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005).
class Ranking
{
public:
  /// @brief Ranks every upstream of aService.
  explicit Ranking(const config::Service& aService);

  /// @brief Ranks the upstreams for which aIncludes holds, in the order that they have among all.
  Ranking(const config::Service& aService,
          const std::function<bool(const config::Upstream&)>& aIncludes);

  /// @brief Number of upstreams ranked.
  std::size_t size() const { return mEntries.size(); }

  /// @brief Best ranks for a flow.
  /// @param aFlowHash hash of the flow's key
  /// @param aLimit    number of ranks wanted
  /// @param aOrder    receives indices into the service's upstreams after what it holds already
  /// @note O(n k) for n upstreams and k ranks at worst; O(n + k^2) as a rule
  void rank(std::uint64_t aFlowHash, std::size_t aLimit, std::vector<std::size_t>& aOrder) const;

private:
  struct Entry
  {
    std::uint64_t mIdentity;
    std::uint32_t mWeight;
    std::uint32_t mIndex;
  };

  std::uint64_t scoreOf(const Entry& aEntry, std::uint64_t aFlowHash) const;

  std::vector<Entry> mEntries;
  bool mIsUniform = true; ///< all upstreams of the service have one weight
};

} // namespace cornelcross::routing
