#pragma once

#include "agent/actions.hpp"
#include "config/configuration.hpp"
#include "flow/packet_format.hpp"
#include "membership/failure_detector.hpp"
#include "routing/service_table.hpp"

namespace cornelcross::agent {

/// @brief Takes a caller's packet on along the candidates for its flow, past suspected agents.
class CandidateForwarder
{
public:
  /// @param aFailureDetector  which agents answer; outlives this object
  /// @param aPacketFormat layout of packets; outlives this object
  /// @param aSelf   this agent
  CandidateForwarder(membership::FailureDetector& aFailureDetector,
                     const flow::PacketFormat& aPacketFormat,
                     flow::Endpoint aSelf)
    : mFailureDetector(aFailureDetector), mPacketFormat(aPacketFormat), mSelf(aSelf)
  {
  }

  /// @brief Adopts the configuration. @param aServiceName name of this agent's service; may be
  /// empty
  void configure(config::ConfigurationPtr aConfiguration, std::string aServiceName);

  /// @brief Notes that aSelf, which has the packet now, can't tell whether its upstream owns the
  /// flow. The list is bounded: a full one is asked at once and the chain goes on without it.
  static Actions addPossibleOwner(flow::Endpoint aSelf, wire::Forward& aForward);

  /// @brief Sends the packet to the next candidate, or ends the chain: a SYN that no upstream took
  /// is refused; any other packet is handed to the upstreams that may still own the flow, or
  /// answered with RST if every candidate denied it.
  Actions forward(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward) const;

  /// @brief True if a candidate that isn't suspected follows among those that are listed.
  bool hasNextCandidate(const wire::Forward& aForward) const;

  /// @brief Ends the chain: a SYN is refused; see forward().
  Actions onNoOwner(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const;

private:
  bool loadNextPage(const flow::TcpPacket& aPacket, wire::Forward& aForward) const;
  bool loadNextNewFlowPage(const flow::TcpPacket& aPacket, wire::Forward& aForward) const;
  bool isDeniedByEveryOwner(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const;
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
};

} // namespace cornelcross::agent
