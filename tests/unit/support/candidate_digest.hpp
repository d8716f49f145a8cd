#pragma once

#include "routing/service_table.hpp"
#include "unit/support/configuration.hpp"

namespace cornelcross::test {

/// @brief What a Forward carries whose sender has aConfiguration.
inline std::uint64_t candidateDigestOf(const config::Configuration& aConfiguration,
                                       flow::Endpoint aAddress = kServiceAddress)
{
  const routing::ServiceTable table(share(aConfiguration));
  routing::CandidateServices services;
  table.servicesForEstablishedFlow(aAddress, 0, services);
  return routing::candidateDigest(services);
}

} // namespace cornelcross::test
