#pragma once

#include "base/safety_mechanisms.hpp"
#include "config/address_route.hpp"
#include "config/availability_zone.hpp"
#include "config/service.hpp"
#include "config/workspace.hpp"

#include <map>
#include <memory>

namespace cornelcross::config {

/// @brief Everything that is in force at one revision. Immutable once built.
struct Configuration
{
  std::uint64_t mRevision = 0; ///< highest revision that was seen
  std::map<std::string, Service> mServices;
  std::map<std::string, AvailabilityZone> mZones;
  std::map<flow::Endpoint, AddressRoute> mAddresses;
  std::vector<Workspace> mWorkspaces;
  bool mIsRetainedStateComplete = false; ///< see RetainedRoutes::isComplete()

  auto operator<=>(const Configuration&) const = default;

  /// @brief True unless operators have taken the zone out. Unlisted zones are in.
  bool isZoneInService(const std::string& aZone) const;

  /// @brief True if operators have taken the zone out just now.
  bool isZoneDraining(const std::string& aZone) const;

  /// @brief True if flows to aAddress may belong to the service.
  bool serves(const std::string& aService, flow::Endpoint aAddress) const;

  /// @brief True if new flows to aAddress may go to the service.
  bool servesNewFlows(const std::string& aService, flow::Endpoint aAddress) const;

  /// @brief Index of the workspace that an address belongs to, plus one; 0 if there is none.
  std::size_t workspaceOf(flow::Ipv4Address aAddress) const;

  /// @brief True if the upstream may receive packets of established flows.
  bool acceptsPackets(const Upstream& aUpstream) const
  {
    return isZoneInService(aUpstream.mZone) || isZoneDraining(aUpstream.mZone);
  }

  /// @brief True if the upstream may hold flows although it may receive no packet: it is older than
  /// the absence of its zone.
  bool mayOwnFlowsWhileOut(const Upstream& aUpstream) const;

  /// @brief True if the upstream may be given new flows.
  bool acceptsNewFlows(const Upstream& aUpstream) const
  {
    return isZoneInService(aUpstream.mZone) && aUpstream.mState != UpstreamState::kRemoved &&
           (aUpstream.mState != UpstreamState::kLeaving ||
            !base::safetyMechanisms().mExcludeLeavingUpstreams);
  }

private:
  bool hasShare(const std::string& aService,
                flow::Endpoint aAddress,
                std::uint32_t aMinWeight) const;
};

/// @brief Shared, immutable configuration; replaced as a whole.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace cornelcross::config
