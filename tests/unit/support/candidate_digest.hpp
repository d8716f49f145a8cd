#pragma once

#include "routing/service_table.hpp"
#include "unit/support/configuration.hpp"

namespace cornelcross::test {

/// @brief Candidate digest in a Forward message from a sender with the configuration
/// aConfiguration.
inline std::uint64_t candidateDigestOf(const config::Configuration& aConfiguration,
                                       flow::Endpoint aAddress = kServiceAddress)
{
  const routing::ServiceTable table(share(aConfiguration));
  routing::CandidateServices services;
  table.servicesForEstablishedFlow(aAddress, 0, services);
  return routing::candidateDigest(services);
}

} // namespace cornelcross::test
