#pragma once

#include "config/service.hpp"

#include <cstddef>
#include <vector>

namespace cornelcross::routing {

/// @brief Orders a service's upstreams for one flow by weighted rendezvous hashing over every
/// listed upstream, whatever its state, so that state changes move no rank.
///
/// Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998); weights as in
/// Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005).
///
/// @param aFlowHash hash of the flow's key
/// @param aLimit    number of ranks wanted
/// @return indices into aService.mUpstreams, best rank first
/// @note O(n + k log k) for n upstreams and k ranks
std::vector<std::size_t> rank(const config::Service& aService,
                              std::uint64_t aFlowHash,
                              std::size_t aLimit);

} // namespace cornelcross::routing
