#pragma once

#include "flow/flow_key.hpp"
#include "routing/service_routes.hpp"

#include <span>

namespace cornelcross::routing {

/// @brief Maximum number of candidates of one page. In a Forward a cached owner may precede them.
inline constexpr std::size_t kCandidatesPerPage = 15;

/// @brief Services of one address that a packet may concern: first the service that receives a new
/// flow with the packet's flow key, then all others that may own an established flow.
using CandidateServices = std::vector<const ServiceRoutes*>;

/// @brief Page aPage of the agents that a new flow visits, in the order of the visits. Every
/// process at the same revision computes the same page.
/// @return at most kCandidatesPerPage agents, from rank aPage * kCandidatesPerPage
std::vector<flow::Endpoint> newFlowCandidates(const ServiceRoutes& aRoutes,
                                              const flow::FlowKey& aFlow,
                                              std::size_t aPage);

/// @brief True if aPage is the last page of candidates for a new flow.
inline bool isLastNewFlowPage(const ServiceRoutes& aRoutes, std::size_t aPage)
{
  return (aPage + 1) * kCandidatesPerPage >= aRoutes.receiverCount();
}

/// @brief One page of the agents that may own an established flow.
struct OwnerCandidates
{
  std::vector<flow::Endpoint> mAgents; ///< in the order of the queries
  bool mIsLastPage = true;             ///< true if this page is the last one

  auto operator<=>(const OwnerCandidates&) const = default;
};

/// @brief Page aPage of the agents that may own an established flow: the agents of the first
/// service, most likely owner first, then those of the other services. Every process with the same
/// candidateDigest() computes the same page.
/// @param aPreviousPage agents of the previous page, possibly cut by a process with a different
///                      digest; the page starts after the last of these agents
OwnerCandidates ownerCandidates(const CandidateServices& aServices,
                                const flow::FlowKey& aFlow,
                                std::size_t aPage,
                                const std::vector<flow::Endpoint>& aPreviousPage = {});

/// @brief Hash of all inputs of ownerCandidates() apart from the flow and the page.
std::uint64_t candidateDigest(const CandidateServices& aServices);

/// @brief As candidateDigest(), without the upstreams that no document lists any more. Processes
/// that started at different times retain different ones of these.
std::uint64_t listedDigest(const CandidateServices& aServices);

} // namespace cornelcross::routing
