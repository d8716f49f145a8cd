#include "routing/candidates.hpp"

#include <algorithm>

namespace cornelcross::routing {

namespace {

/// Multiplier of FNV-1a, 64 bits.
constexpr std::uint64_t kPrime = 0x100000001B3U;

std::size_t receiverCount(const CandidateServices& aServices)
{
  std::size_t count = 0;
  for (const ServiceRoutes* routes : aServices) {
    count += routes->receiverCount();
  }
  return count;
}

/// The first aLimit agents of all services.
std::vector<flow::Endpoint> owners(const CandidateServices& aServices,
                                   const flow::FlowKey& aFlow,
                                   std::size_t aLimit)
{
  std::vector<flow::Endpoint> agents;
  for (const ServiceRoutes* routes : aServices) {
    if (agents.size() < aLimit) {
      const auto more = routes->candidates(aFlow.hash(), false, aLimit - agents.size());
      agents.insert(agents.end(), more.begin(), more.end());
    }
  }
  return agents;
}

/// An upstream that is gone may have had the agent of one that is listed.
void removeRepeated(std::vector<flow::Endpoint>& aAgents)
{
  // In place: this is done for each packet, and the agents are few.
  auto end = aAgents.begin();
  for (const flow::Endpoint agent : aAgents) {
    if (std::find(aAgents.begin(), end, agent) == end) {
      *end++ = agent;
    }
  }
  aAgents.erase(end, aAgents.end());
}

} // namespace

std::vector<flow::Endpoint> newFlowCandidates(const ServiceRoutes& aRoutes,
                                              const flow::FlowKey& aFlow,
                                              std::size_t aPage)
{
  auto agents = aRoutes.candidates(aFlow.hash(), true, (aPage + 1) * kCandidatesPerPage);
  const std::size_t first = std::min(aPage * kCandidatesPerPage, agents.size());
  agents.erase(agents.begin(), agents.begin() + static_cast<std::ptrdiff_t>(first));
  return agents;
}

OwnerCandidates ownerCandidates(const CandidateServices& aServices,
                                const flow::FlowKey& aFlow,
                                std::size_t aPage,
                                const std::vector<flow::Endpoint>& aBefore)
{
  // After the first, a chunk more, should the other process have listed others or fewer.
  const std::size_t limit = (aPage + (aPage > 0 ? 2 : 1)) * kCandidatesPerPage;
  std::vector<flow::Endpoint> agents = owners(aServices, aFlow, limit);
  const bool isAll = agents.size() == receiverCount(aServices);
  removeRepeated(agents);
  std::size_t first = std::min(aPage * kCandidatesPerPage, agents.size());
  for (std::size_t i = 0; i < agents.size() && aPage > 0; ++i) {
    if (std::find(aBefore.begin(), aBefore.end(), agents[i]) != aBefore.end()) {
      first = i + 1;
    }
  }
  const std::size_t last = std::min(first + kCandidatesPerPage, agents.size());
  const auto at = [&](std::size_t aIndex) {
    return agents.begin() + static_cast<std::ptrdiff_t>(aIndex);
  };
  return { { at(first), at(last) }, isAll && last == agents.size() };
}

std::uint64_t candidateDigest(const CandidateServices& aServices)
{
  std::uint64_t hash = 0;
  for (const ServiceRoutes* routes : aServices) {
    hash = (hash ^ routes->nameHash()) * kPrime;
    hash = (hash ^ routes->upstreamSetHash()) * kPrime;
  }
  return hash;
}

} // namespace cornelcross::routing
