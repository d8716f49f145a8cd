#pragma once

#include "config/configuration.hpp"

namespace cornelcross::bench {

/// @brief Address of the service in sampleConfiguration().
inline constexpr flow::Endpoint kServiceAddress{ { 0xC633640A }, 80 };

/// @brief One service with aUpstreams serving upstreams, whose agents are at 127.61.B.C:7000.
inline config::ConfigurationPtr sampleConfiguration(std::uint32_t aUpstreams)
{
  constexpr std::uint32_t kFirstAgent = 0x7F3D0A01; // 127.61.10.1
  config::Service service{ "bench", kServiceAddress, {} };
  for (std::uint32_t i = 0; i < aUpstreams; ++i) {
    config::Upstream upstream;
    upstream.mName = "bench-" + std::to_string(i);
    upstream.mAgent = { { kFirstAgent + i }, 7000 };
    upstream.mAddress = { { kFirstAgent + i }, 7001 };
    upstream.mZone = std::string(1, static_cast<char>('a' + i % 3));
    upstream.mIdentity = config::upstreamIdentity("bench", upstream.mName);
    service.mUpstreams.push_back(upstream);
  }
  auto configuration = std::make_shared<config::Configuration>();
  configuration->mRevision = 1;
  configuration->mServices.emplace("bench", service);
  return configuration;
}

} // namespace cornelcross::bench
