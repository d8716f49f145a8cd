#pragma once

#include "routing/service_table.hpp"
#include "unit/support/configuration.hpp"

namespace cornelcross::test {

/// @brief What a Forward carries whose sender has aConfiguration.
inline std::uint64_t listingOf(const config::Configuration& aConfiguration,
                               flow::Endpoint aAddress = kServiceAddress)
{
  const routing::ServiceTable table(share(aConfiguration));
  routing::Services services;
  table.owners(aAddress, 0, services);
  return routing::listing(services);
}

} // namespace cornelcross::test
