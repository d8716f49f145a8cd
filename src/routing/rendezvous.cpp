#include "routing/rendezvous.hpp"

namespace cornelcross::routing {

std::vector<std::size_t> rank(const config::Service& aService,
                              std::uint64_t aFlowHash,
                              std::size_t aLimit)
{
  std::vector<std::size_t> indices;
  Ranking(aService).rank(aFlowHash, aLimit, indices);
  return indices;
}

} // namespace cornelcross::routing
