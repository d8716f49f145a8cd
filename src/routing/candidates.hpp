#pragma once

#include "flow/flow_key.hpp"
#include "routing/service_routes.hpp"

#include <span>

namespace cornelcross::routing {

/// @brief Candidates of one Forward, apart from the remembered owner that may precede them.
inline constexpr std::size_t kCandidatesPerPage = 15;

/// @brief Services behind an address: the one that takes the new flow, or would if the packet
/// opened one, before all others that may hold an established flow.
using CandidateServices = std::vector<const ServiceRoutes*>;

/// @brief Agents that may take a new flow, in the order in which they are asked, from rank
/// aPage * kCandidatesPerPage on, at most kCandidatesPerPage of them: the same on every process at
/// the same revision.
std::vector<flow::Endpoint> newFlowCandidates(const ServiceRoutes& aRoutes,
                                              const flow::FlowKey& aFlow,
                                              std::size_t aPage);

/// @brief True if no chunk for a new flow follows aPage.
inline bool isLastNewFlowPage(const ServiceRoutes& aRoutes, std::size_t aPage)
{
  return (aPage + 1) * kCandidatesPerPage >= aRoutes.receiverCount();
}

/// @brief Part of the agents that may own an established flow.
struct OwnerCandidates
{
  std::vector<flow::Endpoint> mAgents; ///< in the order in which they are asked
  bool mIsLast = true;                 ///< no agent follows

  auto operator<=>(const OwnerCandidates&) const = default;
};

/// @brief Agents that may own an established flow: those of the first service, most likely owner
/// first, then those of the others, cut into chunks. The same on every process whose
/// candidateDigest() is the same.
/// @param aBefore agents of the chunk before, as a process with another listing may have cut it;
///                this one begins behind the last of them
OwnerCandidates ownerCandidates(const CandidateServices& aServices,
                                const flow::FlowKey& aFlow,
                                std::size_t aPage,
                                const std::vector<flow::Endpoint>& aBefore = {});

/// @brief Hash of all that ownerCandidates() depends on, apart from the flow.
std::uint64_t candidateDigest(const CandidateServices& aServices);

} // namespace cornelcross::routing
