#pragma once

#include "routing/service_routes.hpp"

#include <unordered_map>

namespace cornelcross::routing {

/// @brief Looks services up by the address that callers connect to.
class ServiceTable
{
public:
  /// @brief Indexes aConfiguration and keeps it alive.
  explicit ServiceTable(config::ConfigurationPtr aConfiguration);

  /// @brief Goes over to aConfiguration, preparing anew only the services that differ.
  /// @note O(n) comparisons of pointers for n services, unless availability zones changed
  void apply(config::ConfigurationPtr aConfiguration);

  /// @brief Service at aAddress; nullptr if there is none.
  const ServiceRoutes* find(flow::Endpoint aAddress) const;

  /// @brief What the table was made from.
  const config::Configuration& configuration() const { return *mConfiguration; }

private:
  void prepareAll();
  void prepareChanged(const config::Configuration& aBefore);

  config::ConfigurationPtr mConfiguration;
  std::unordered_map<flow::Endpoint, ServiceRoutes, flow::EndpointHash> mByAddress;
};

} // namespace cornelcross::routing
