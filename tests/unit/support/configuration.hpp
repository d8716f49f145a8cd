#pragma once

#include "config/configuration.hpp"

namespace cornelcross::test {

inline const flow::Endpoint kServiceAddress = *flow::Endpoint::parse("198.51.100.10:80");

/// @brief Address of the agent of the upstream with the index aIndex in makeConfiguration().
inline flow::Endpoint agentOf(std::uint32_t aIndex)
{
  return { { 0x7F000A01U + aIndex }, 7000 };
}

/// @brief Configuration with one service "logbook" of aCount serving upstreams "logbook-1" to
/// "logbook-<aCount>", distributed round-robin over the zones a, b and c.
inline config::Configuration makeConfiguration(std::uint32_t aCount, std::uint64_t aRevision = 1)
{
  config::Service service{ "logbook", kServiceAddress, {} };
  for (std::uint32_t i = 0; i < aCount; ++i) {
    config::Upstream upstream;
    upstream.mName = "logbook-" + std::to_string(i + 1);
    upstream.mAgent = agentOf(i);
    upstream.mAddress = { agentOf(i).mAddress, 7001 };
    upstream.mZone = std::string(1, static_cast<char>('a' + i % 3));
    upstream.mSlots = 7;
    upstream.mIdentity = config::upstreamIdentity("logbook", upstream.mName);
    service.mUpstreams.push_back(upstream);
  }
  config::Configuration configuration;
  configuration.mRevision = aRevision;
  configuration.mServices.emplace("logbook", service);
  return configuration;
}

/// @brief Moves a configuration into the shared pointer that the decision code accepts.
inline config::ConfigurationPtr share(config::Configuration aConfiguration)
{
  return std::make_shared<const config::Configuration>(std::move(aConfiguration));
}

} // namespace cornelcross::test
