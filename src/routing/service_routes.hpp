#pragma once

#include "config/configuration.hpp"
#include "routing/ranking.hpp"

#include <unordered_map>
#include <unordered_set>

namespace cornelcross::routing {

/// @brief Precomputed routing data of one service: the rankings of its upstreams, and which of them
/// accept packets or new flows.
class ServiceRoutes
{
public:
  /// @brief Computes the routing data of aService, which is part of aConfiguration. The object
  /// shares ownership of the list of upstreams, so that neither argument has to outlive it.
  ServiceRoutes(const config::Configuration& aConfiguration, const config::Service& aService);

  /// @brief Configuration of the service.
  const config::Service& service() const { return mService; }

  /// @brief Hash of the service's name, which identifies the service in messages.
  std::uint64_t nameHash() const { return mNameHash; }

  /// @brief Number of upstreams that accept packets: those in availability zones in service.
  std::size_t receiverCount() const { return mReceivers.size(); }

  /// @brief Number of upstreams that accept new flows.
  std::size_t eligibleCount() const { return mEligible.size(); }

  /// @brief Agents of the upstreams that do not accept packets, because their availability zone is
  /// out of service. These upstreams may own flows.
  const std::vector<flow::Endpoint>& agentsOutOfService() const { return mAgentsOutOfService; }

  /// @brief Agents of the upstreams whose availability zone drains. These accept packets.
  const std::vector<flow::Endpoint>& drainingAgents() const { return mDrainingAgents; }

  /// @brief Hash of the upstreams that accept packets, independent of their order.
  std::uint64_t upstreamSetHash() const { return mUpstreamSetHash; }

  /// @brief As upstreamSetHash(), without upstreams that no document lists any more.
  std::uint64_t listedSetHash() const { return mListedSetHash; }

  /// @brief True if aAgent is the agent of an upstream that accepts packets.
  bool acceptsPackets(flow::Endpoint aAgent) const { return mZoneByAgent.contains(aAgent); }

  /// @brief Agents of the upstreams that accept packets.
  const std::vector<flow::Endpoint>& receiverAgents() const { return mReceiverAgents; }

  /// @brief True if aAgent is the agent of an upstream that no document lists any more.
  bool isRemoved(flow::Endpoint aAgent) const { return mRemovedAgents.contains(aAgent); }

  /// @brief True if aAgent is the agent of an upstream that accepts packets in availability zone
  /// aZone.
  bool isInZone(flow::Endpoint aAgent, const std::string& aZone) const;

  /// @brief True if both agents are agents of upstreams that accept packets, in one availability
  /// zone.
  bool areInSameZone(flow::Endpoint aAgent, flow::Endpoint aOther) const;

  /// @brief The first aLimit candidate agents for a flow, most likely owner first. For a new flow
  /// the agents that accept new flows precede the others, which can only report that they already
  /// own the flow.
  std::vector<flow::Endpoint> candidates(std::uint64_t aFlowHash,
                                         bool aIsNewFlow,
                                         std::size_t aLimit) const;

  /// @brief The first aLimit agents of listed upstreams for a hash, whatever the states of the
  /// upstreams and their availability zones, which processes receive at different times.
  std::vector<flow::Endpoint> listedAgents(std::uint64_t aHash, std::size_t aLimit) const;

private:
  std::vector<flow::Endpoint> agentsOf(const std::vector<std::size_t>& aIndices) const;

  config::Service mService;
  std::unordered_map<flow::Endpoint, std::string, flow::EndpointHash> mZoneByAgent;
  std::vector<flow::Endpoint> mReceiverAgents;
  std::vector<flow::Endpoint> mAgentsOutOfService;
  std::vector<flow::Endpoint> mDrainingAgents;
  std::unordered_set<flow::Endpoint, flow::EndpointHash> mRemovedAgents;
  std::uint64_t mNameHash;
  std::uint64_t mUpstreamSetHash = 0;
  std::uint64_t mListedSetHash = 0;
  Ranking mReceivers;           ///< upstreams that accept packets
  Ranking mEligible;            ///< upstreams that accept new flows
  Ranking mIneligibleReceivers; ///< listed upstreams that accept packets but no new flows
  Ranking mListed;              ///< upstreams that a document lists
};

} // namespace cornelcross::routing
