#pragma once

#include "base/safety_mechanisms.hpp"
#include "config/address_route.hpp"
#include "config/availability_zone.hpp"
#include "config/request_class.hpp"
#include "config/service.hpp"
#include "config/workspace.hpp"

#include <map>
#include <memory>

namespace cornelcross::config {

/// @brief The configuration of a process at one revision. Immutable once built.
struct Configuration
{
  std::uint64_t mRevision = 0; ///< all changes up to this revision have been received
  std::map<std::string, Service> mServices;
  std::map<std::string, AvailabilityZone> mZones;
  std::map<flow::Endpoint, AddressRoute> mAddresses;
  std::map<flow::Endpoint, RequestClass> mRequestClasses; ///< by address
  std::vector<Workspace> mWorkspaces;
  bool mIsRetainedStateComplete = false; ///< see RetainedRoutes::isComplete()

  auto operator<=>(const Configuration&) const = default;

  /// @brief True unless operators have taken the zone out of service. A zone that no document lists
  /// is in service.
  bool isZoneInService(const std::string& aZone) const;

  /// @brief True if the zone is out of service, but its established flows may still complete their
  /// requests.
  bool isZoneDraining(const std::string& aZone) const;

  /// @brief True if the service may own flows to aAddress. @note O(log n + s) for n services and
  /// addresses and s services behind aAddress
  bool serves(const std::string& aService, flow::Endpoint aAddress) const;

  /// @brief True if new flows to aAddress may be assigned to the service. Complexity as serves().
  bool servesNewFlows(const std::string& aService, flow::Endpoint aAddress) const;

  /// @brief Class of the requests to aAddress; nullptr if no document describes them.
  const RequestClass* requestClassOf(flow::Endpoint aAddress) const;

  /// @brief Index in mWorkspaces of the workspace that contains aAddress, plus one; 0 if there is
  /// none. @note linear in the number of prefixes
  std::size_t workspaceOf(flow::Ipv4Address aAddress) const;

  /// @brief True if the upstream may receive packets of established flows: its zone is in service
  /// or draining.
  bool acceptsPackets(const Upstream& aUpstream) const
  {
    return isZoneInService(aUpstream.mZone) || isZoneDraining(aUpstream.mZone);
  }

  /// @brief True if the upstream may receive new flows: its zone is in service, and it is neither
  /// leaving nor removed.
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

/// @brief Shared, immutable configuration. A new revision replaces the whole object.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace cornelcross::config
