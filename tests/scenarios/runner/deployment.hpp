#pragma once

#include "flow/endpoint.hpp"

#include <map>
#include <string>
#include <vector>

namespace cornelcross::scenarios {

/// @brief An upstream VM and its agent, as the scenario declares them.
struct UpstreamSpec
{
  std::string mName;    ///< name of the upstream process; the agent process is NAME-agent
  std::string mService; ///< name of the service
  std::string mZone;
  std::string mState = "serving"; ///< "removed" if absent from all documents
  flow::Endpoint mAgent;          ///< advertised endpoint of the agent
  flow::Endpoint mAddress;        ///< endpoint at which the upstream receives packets

  auto operator<=>(const UpstreamSpec&) const = default;
};

/// @brief A service of the scenario.
struct ServiceSpec
{
  std::string mName;
  flow::Endpoint mAddress;      ///< endpoint that callers connect to
  unsigned mSlots = 1;          ///< slots of each upstream
  unsigned mColdStartMs = 0;    ///< duration of a cold start
  unsigned mColdStartSlots = 1; ///< concurrent requests during a cold start

  auto operator<=>(const ServiceSpec&) const = default;
};

/// @brief The configuration that operators have declared, and the documents that publish it.
struct Deployment
{
  std::vector<std::string> mZones{ "a" };
  std::map<std::string, bool> mIsZoneInService;
  std::map<std::string, ServiceSpec> mServices;
  std::map<std::string, UpstreamSpec> mUpstreams;

  /// @brief Returns the zone of a process; processes are assigned to zones round-robin.
  const std::string& zoneOf(std::size_t aIndex) const { return mZones[aIndex % mZones.size()]; }

  /// @brief Returns the JSON text of the document "service/NAME".
  std::string serviceDocument(const std::string& aService) const;

  /// @brief Returns the JSON text of the document "zones".
  std::string zonesDocument() const;
};

} // namespace cornelcross::scenarios
