#include "routing/service_table.hpp"

namespace cornelcross::routing {

ServiceTable::ServiceTable(config::ConfigurationPtr aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (const auto& [name, service] : mConfiguration->mServices) {
    mByAddress.emplace(service.mAddress, ServiceRoutes(*mConfiguration, service));
  }
}

const ServiceRoutes* ServiceTable::find(flow::Endpoint aAddress) const
{
  const auto found = mByAddress.find(aAddress);
  return found == mByAddress.end() ? nullptr : &found->second;
}

} // namespace cornelcross::routing
