#pragma once

#include "balancer/actions.hpp"
#include "base/time.hpp"
#include "flow/packet_format.hpp"
#include "membership/failure_detector.hpp"
#include "routing/owner_cache.hpp"
#include "routing/service_table.hpp"
#include "wire/owner_update.hpp"

/// @brief The balancer: hands each packet of a caller to the agents that may own its flow.
namespace cornelcross::balancer {

/// @brief Decides where each packet goes, from the packet and the configuration alone.
/// Deterministic: has no clock, socket, thread or random source.
class PacketRouter
{
public:
  /// @param aSelf          endpoint to which agents send notices
  /// @param aCacheCapacity flows whose owner is remembered, per generation
  /// @param aPacketFormat        layout of callers' packets
  /// @param aMayRefuse     resets reach callers from here
  /// @param aZone          availability zone whose agents are offered new flows first; empty for
  ///                       none
  PacketRouter(flow::Endpoint aSelf,
               std::size_t aCacheCapacity,
               flow::PacketFormat aPacketFormat = flow::ipv4Format(),
               bool aMayRefuse = false,
               std::string aZone = {});

  /// @brief Puts a configuration into force. One with a lower revision is ignored.
  void apply(config::ConfigurationPtr aConfiguration);

  /// @brief Decides on one IP packet from the fabric.
  Action decide(base::Time aNow, std::span<const std::byte> aPacket);

  /// @brief Learns which agent owns a flow.
  void onOwnerUpdate(base::Time aNow, const wire::OwnerUpdate& aNotice);

  /// @brief Which agents answer.
  membership::FailureDetector& failureDetector() { return mFailureDetector; }

  /// @brief Which agents answer.
  const membership::FailureDetector& failureDetector() const { return mFailureDetector; }

  /// @brief Flows whose owner is remembered.
  std::size_t rememberedOwners() const { return mOwners.size(); }

  /// @brief What is in force.
  const config::Configuration& configuration() const { return mTable.configuration(); }

  /// @brief Revision in force.
  std::uint64_t revision() const { return mTable.configuration().mRevision; }

private:
  wire::Forward address(base::Time aNow, const flow::TcpPacket& aPacket);
  void listOwners(base::Time aNow, const flow::FlowKey& aFlow, wire::Forward& aForward);
  void moveSuspectsLast(base::Time aNow, std::vector<flow::Endpoint>& aCandidates);
  const flow::Endpoint* rememberedOwner(const flow::FlowKey& aFlow);
  void preferZone(std::vector<flow::Endpoint>& aCandidates) const;
  void preferOwner(const flow::FlowKey& aFlow, std::vector<flow::Endpoint>& aCandidates);
  Action refuse(const flow::TcpPacket& aPacket, DropReason aReason) const;
  bool acceptsPackets(flow::Endpoint aAgent) const;

  flow::Endpoint mSelf;
  flow::PacketFormat mPacketFormat;
  bool mMayRefuse;
  std::string mZone;
  routing::ServiceTable mTable;
  routing::CandidateServices mServices; ///< behind the address of this packet
  routing::OwnerCache mOwners;
  membership::FailureDetector mFailureDetector;
};

} // namespace cornelcross::balancer
