#pragma once

#include "config/configuration.hpp"
#include "routing/ranking.hpp"

#include <unordered_map>

namespace cornelcross::routing {

/// @brief One service prepared for per-packet decisions: ranks and who may receive what.
class ServiceRoutes
{
public:
  /// @brief Prepares aService, which is part of aConfiguration. Shares its upstreams, so that
  /// neither has to outlive this object.
  ServiceRoutes(const config::Configuration& aConfiguration, const config::Service& aService);

  /// @brief The service.
  const config::Service& service() const { return mService; }

  /// @brief Hash of the service's name, as messages carry it.
  std::uint64_t nameHash() const { return mIdentity; }

  /// @brief Number of upstreams in availability zones that are in.
  std::size_t receiverCount() const { return mReceivers.size(); }

  /// @brief Number of upstreams that take new flows.
  std::size_t eligibleCount() const { return mOpeners.size(); }

  /// @brief True if every upstream of the service that may hold flows may receive packets.
  bool areAllOwnersReachable() const { return mAreAllOwnersReachable; }

  /// @brief Hash of the agents whose upstreams may receive packets, whatever their order.
  std::uint64_t upstreamSetHash() const { return mFingerprint; }

  /// @brief True if aAgent is the agent of an upstream that may receive packets.
  bool acceptsPackets(flow::Endpoint aAgent) const { return mZoneOfReceiver.contains(aAgent); }

  /// @brief True if aAgent is the agent of such an upstream in the availability zone.
  bool isInZone(flow::Endpoint aAgent, const std::string& aZone) const;

  /// @brief Agents to ask about a flow, most likely owner first, at most aLimit of them. For a new
  /// flow those that may open it come first; the others can only say whether they own it already.
  std::vector<flow::Endpoint> candidates(std::uint64_t aFlowHash,
                                         bool aOpensFlow,
                                         std::size_t aLimit) const;

private:
  config::Service mService;
  std::unordered_map<flow::Endpoint, std::string, flow::EndpointHash> mZoneOfReceiver; ///< by agent
  std::uint64_t mIdentity;
  std::uint64_t mFingerprint = 0;
  bool mAreAllOwnersReachable = true;
  Ranking mReceivers;     ///< upstreams in availability zones that are in
  Ranking mOpeners;       ///< those of them that take new flows
  Ranking mOnlyReceivers; ///< those of them that don't, but are still listed
};

} // namespace cornelcross::routing
