#pragma once

#include "config/service.hpp"

#include <map>
#include <unordered_map>

namespace cornelcross::config {

/// @brief Maps each endpoint of the accepted services to the service that uses the endpoint.
/// @note store() and erase() are linear in the upstreams of one service and independent of the
/// number of services, apart from a lookup by name in O(log n).
class EndpointIndex
{
public:
  /// @brief Adds a service. Replaces a service of the same name.
  void store(const Service& aService);

  /// @brief Removes a service. Does nothing if the service is not in the index.
  void erase(const std::string& aService);

  /// @brief Name of the service whose own address is aAddress; nullptr if there is none.
  const std::string* serviceWithAddress(flow::Endpoint aAddress) const;

  /// @brief Name of the service that lists aEndpoint as an agent or an upstream; nullptr if there
  /// is none.
  const std::string* serviceWithEndpoint(flow::Endpoint aEndpoint) const;

private:
  using ServiceByEndpoint = std::unordered_map<flow::Endpoint, std::string, flow::EndpointHash>;

  struct ServiceEndpoints
  {
    flow::Endpoint mAddress;
    std::vector<flow::Endpoint> mUpstreamEndpoints;
  };

  static const std::string* findService(const ServiceByEndpoint& aServices,
                                        flow::Endpoint aEndpoint);

  std::map<std::string, ServiceEndpoints> mEndpointsByService;
  ServiceByEndpoint mServiceByAddress;
  ServiceByEndpoint mServiceByUpstreamEndpoint;
};

} // namespace cornelcross::config
