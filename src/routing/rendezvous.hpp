#pragma once

#include "routing/ranking.hpp"

namespace cornelcross::routing {

/// @brief Ranks of one service for one flow, best first; see Ranking, which is to be kept where
/// many flows are ranked.
/// @param aFlowHash hash of the flow's key
/// @param aLimit    number of ranks wanted
/// @return indices into aService.mUpstreams
std::vector<std::size_t> rank(const config::Service& aService,
                              std::uint64_t aFlowHash,
                              std::size_t aLimit);

} // namespace cornelcross::routing
