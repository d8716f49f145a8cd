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

  /// @brief Service at aAddress; nullptr if there is none.
  const ServiceRoutes* find(flow::Endpoint aAddress) const;

  /// @brief What the table was made from.
  const config::Configuration& configuration() const { return *mConfiguration; }

private:
  config::ConfigurationPtr mConfiguration;
  std::unordered_map<flow::Endpoint, ServiceRoutes, flow::EndpointHash> mByAddress;
};

} // namespace cornelcross::routing
