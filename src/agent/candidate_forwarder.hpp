#pragma once

#include "agent/owner_lookups.hpp"
#include "config/configuration.hpp"
#include "flow/packet_format.hpp"
#include "membership/failure_detector.hpp"
#include "routing/service_table.hpp"

namespace cornelcross::agent {

/// @brief Forwards a caller's packet to the next candidate for its flow and skips suspected agents.
class CandidateForwarder
{
public:
  /// @param aFailureDetector detector of agents that do not reply; outlives this object
  /// @param aPacketFormat    layout of packets; outlives this object
  /// @param aSelf            address of this agent
  /// @param aOwnershipHook   ownership of flows at this agent
  /// @param aFirstLookupRound see OwnerLookups
  CandidateForwarder(membership::FailureDetector& aFailureDetector,
                     const flow::PacketFormat& aPacketFormat,
                     flow::Endpoint aSelf,
                     OwnerLookups::OwnershipHook aOwnershipHook = {},
                     std::uint32_t aFirstLookupRound = 0)
    : mFailureDetector(aFailureDetector)
    , mPacketFormat(aPacketFormat)
    , mSelf(aSelf)
    , mOwnerLookups(mSelf,
                    mFailureDetector,
                    mPacketFormat,
                    mServiceTable,
                    std::move(aOwnershipHook),
                    aFirstLookupRound)
  {
  }
  CandidateForwarder(const CandidateForwarder&) = delete;
  CandidateForwarder& operator=(const CandidateForwarder&) = delete;

  /// @brief Applies a configuration.
  /// @param aServiceName name of this agent's service; empty if no upstream is assigned
  void configure(config::ConfigurationPtr aConfiguration, std::string aServiceName);

  /// @brief Adds aSelf, which processes the packet now, to the agents whose upstream may own the
  /// flow. The list is bounded: the agents of a full list are queried at once and removed from the
  /// list.
  static Actions addPossibleOwner(flow::Endpoint aSelf, wire::Forward& aForward);

  /// @brief Forwards the packet to the next candidate. After the last candidate, see onNoOwner().
  /// If upstreams return packets, the owner of an established flow is looked up after the first
  /// page of candidates.
  Actions forward(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);

  /// @brief Lookups of the owners of flows.
  OwnerLookups& ownerLookups() { return mOwnerLookups; }

  /// @brief Lookups of the owners of flows.
  const OwnerLookups& ownerLookups() const { return mOwnerLookups; }

  /// @brief True if an unsuspected candidate follows on the packet's page of the candidate list.
  bool hasNextCandidate(const wire::Forward& aForward) const;

  /// @brief Handles a packet that no candidate accepted. A SYN is refused. Any other packet is sent
  /// as a query to the agents whose upstream may still own the flow. Without such agents, the
  /// packet is answered with RST if every candidate denied the flow, and dropped otherwise.
  Actions onNoOwner(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const;

private:
  bool isLookupDue(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const;
  Actions lookUpOwner(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  flow::Endpoint selectLookupAgent(const flow::TcpPacket& aPacket) const;
  bool loadNextPage(const flow::TcpPacket& aPacket, wire::Forward& aForward) const;
  void keepOwnZone(const routing::CandidateServices& aServices,
                   std::vector<flow::Endpoint>& aAgents) const;
  bool loadNextNewFlowPage(const flow::TcpPacket& aPacket, wire::Forward& aForward) const;
  std::uint64_t digestOf(const routing::CandidateServices& aServices) const;
  bool canResetAfter(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const;
  bool isDenialConclusive(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const;
  routing::CandidateServices candidateServices(const flow::TcpPacket& aPacket) const;
  void querySuspects(base::Time aNow,
                     const flow::TcpPacket& aPacket,
                     std::size_t aFirst,
                     wire::Forward& aForward,
                     Actions& aActions) const;
  static void queryPossibleOwners(const wire::Forward& aForward,
                                  wire::OwnershipQuery aQuery,
                                  Actions& aActions);

  membership::FailureDetector& mFailureDetector;
  const flow::PacketFormat& mPacketFormat;
  routing::ServiceTable mServiceTable{ std::make_shared<const config::Configuration>() };
  std::string mServiceName;
  flow::Endpoint mSelf;
  OwnerLookups mOwnerLookups;
};

} // namespace cornelcross::agent
