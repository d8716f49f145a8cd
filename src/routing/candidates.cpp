#include "routing/candidates.hpp"

#include <algorithm>

namespace cornelcross::routing {

namespace {

/// 64-bit prime of the FNV-1a hash.
constexpr std::uint64_t kFnvPrime = 0x100000001B3U;

std::size_t totalReceiverCount(const CandidateServices& aServices)
{
  std::size_t count = 0;
  for (const ServiceRoutes* routes : aServices) {
    count += routes->receiverCount();
  }
  return count;
}

/// The first aLimit agents of all services, in the order of the services.
std::vector<flow::Endpoint> possibleOwners(const CandidateServices& aServices,
                                           const flow::FlowKey& aFlow,
                                           std::size_t aLimit)
{
  std::vector<flow::Endpoint> agents;
  for (const ServiceRoutes* routes : aServices) {
    if (agents.size() < aLimit) {
      const auto candidates = routes->candidates(aFlow.hash(), false, aLimit - agents.size());
      agents.insert(agents.end(), candidates.begin(), candidates.end());
    }
  }
  return agents;
}

/// Keeps the first occurrence of each agent. An agent occurs twice if a removed upstream had the
/// same agent as a listed upstream.
void removeDuplicates(std::vector<flow::Endpoint>& aAgents)
{
  // In place, because the function runs for each packet; the agents are few enough for a quadratic
  // search.
  auto end = aAgents.begin();
  for (const flow::Endpoint agent : aAgents) {
    if (std::find(aAgents.begin(), end, agent) == end) {
      *end++ = agent;
    }
  }
  aAgents.erase(end, aAgents.end());
}

std::uint64_t digestOf(const CandidateServices& aServices,
                       std::uint64_t (ServiceRoutes::*aSetHash)() const)
{
  std::uint64_t hash = 0;
  for (const ServiceRoutes* routes : aServices) {
    hash = (hash ^ routes->nameHash()) * kFnvPrime;
    hash = (hash ^ (routes->*aSetHash)()) * kFnvPrime;
  }
  return hash;
}

} // namespace

std::vector<flow::Endpoint> newFlowCandidates(const ServiceRoutes& aRoutes,
                                              const flow::FlowKey& aFlow,
                                              std::size_t aPage)
{
  auto agents = aRoutes.candidates(aFlow.hash(), true, (aPage + 1) * kCandidatesPerPage);
  const std::size_t firstIndex = std::min(aPage * kCandidatesPerPage, agents.size());
  agents.erase(agents.begin(), agents.begin() + static_cast<std::ptrdiff_t>(firstIndex));
  return agents;
}

OwnerCandidates ownerCandidates(const CandidateServices& aServices,
                                const flow::FlowKey& aFlow,
                                std::size_t aPage,
                                const std::vector<flow::Endpoint>& aPreviousPage)
{
  // Pages after the first are cut from one page more, because the process that cut the previous
  // page may have listed different or fewer agents.
  const std::size_t limit = (aPage + (aPage > 0 ? 2 : 1)) * kCandidatesPerPage;
  std::vector<flow::Endpoint> agents = possibleOwners(aServices, aFlow, limit);
  const bool isComplete = agents.size() == totalReceiverCount(aServices);
  removeDuplicates(agents);
  std::size_t firstIndex = std::min(aPage * kCandidatesPerPage, agents.size());
  for (std::size_t i = 0; i < agents.size() && aPage > 0; ++i) {
    if (std::find(aPreviousPage.begin(), aPreviousPage.end(), agents[i]) != aPreviousPage.end()) {
      firstIndex = i + 1;
    }
  }
  const std::size_t lastIndex = std::min(firstIndex + kCandidatesPerPage, agents.size());
  const auto iteratorAt = [&](std::size_t aIndex) {
    return agents.begin() + static_cast<std::ptrdiff_t>(aIndex);
  };
  return { { iteratorAt(firstIndex), iteratorAt(lastIndex) },
           isComplete && lastIndex == agents.size() };
}

std::uint64_t candidateDigest(const CandidateServices& aServices)
{
  return digestOf(aServices, &ServiceRoutes::upstreamSetHash);
}

std::uint64_t listedDigest(const CandidateServices& aServices)
{
  return digestOf(aServices, &ServiceRoutes::listedSetHash);
}

} // namespace cornelcross::routing
