#pragma once

#include "flow/endpoint.hpp"

#include <map>
#include <string>
#include <vector>

namespace cornelcross::scenarios {

/// @brief An upstream VM with its agent, as the scenario declares it.
struct UpstreamSpec
{
  std::string mName;    ///< also the name of the upstream's process; its agent is NAME-agent
  std::string mService; ///< name of the service
  std::string mZone;
  std::string mState = "serving"; ///< "removed" if no document lists it
  flow::Endpoint mAgent;          ///< advertised endpoint of the agent
  flow::Endpoint mAddress;        ///< where the upstream receives packets

  auto operator<=>(const UpstreamSpec&) const = default;
};

/// @brief A service of the scenario.
struct ServiceSpec
{
  std::string mName;
  flow::Endpoint mAddress; ///< what callers connect to
  unsigned mSlots = 1;
  unsigned mColdMs = 0;    ///< milliseconds that a cold start takes
  unsigned mColdSlots = 1; ///< requests at once while cold

  auto operator<=>(const ServiceSpec&) const = default;
};

/// @brief What operators have declared; makes the documents that they publish.
struct Deployment
{
  std::vector<std::string> mZones{ "a" };
  std::map<std::string, bool> mZoneIsIn;
  std::map<std::string, ServiceSpec> mServices;
  std::map<std::string, UpstreamSpec> mUpstreams;

  /// @brief Zone of the process with this number: one after the other.
  const std::string& zoneOf(std::size_t aIndex) const { return mZones[aIndex % mZones.size()]; }

  /// @brief Document "service/NAME".
  std::string serviceDocument(const std::string& aService) const;

  /// @brief Document "zones".
  std::string zonesDocument() const;
};

} // namespace cornelcross::scenarios
