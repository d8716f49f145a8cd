#pragma once

#include "routing/ranking.hpp"

namespace cornelcross::routing {

/// @brief Ranks the upstreams of one service for one flow. Builds a Ranking for the call; a caller
/// that ranks many flows should keep a Ranking instead.
/// @param aFlowHash hash of the flow's key
/// @param aLimit    maximum number of returned indices
/// @return indices into aService.mUpstreams, best rank first
std::vector<std::size_t> rank(const config::Service& aService,
                              std::uint64_t aFlowHash,
                              std::size_t aLimit);

} // namespace cornelcross::routing
