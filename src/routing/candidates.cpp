#include "routing/candidates.hpp"

#include <algorithm>

namespace cornelcross::routing {

namespace {

/// Multiplier of FNV-1a, 64 bits.
constexpr std::uint64_t kPrime = 0x100000001B3U;

std::vector<flow::Endpoint> ranked(const ServiceRoutes& aRoutes,
                                   const flow::FlowKey& aFlow,
                                   bool aOpensFlow,
                                   std::size_t aFirst,
                                   std::size_t aLimit)
{
  auto agents = aRoutes.candidates(aFlow.hash(), aOpensFlow, aFirst + aLimit);
  const std::size_t skipped = std::min(aFirst, agents.size());
  agents.erase(agents.begin(), agents.begin() + static_cast<std::ptrdiff_t>(skipped));
  return agents;
}

} // namespace

std::vector<flow::Endpoint> openingChunk(const ServiceRoutes& aRoutes,
                                         const flow::FlowKey& aFlow,
                                         std::size_t aChunk)
{
  return ranked(aRoutes, aFlow, true, aChunk * kChunk, kChunk);
}

std::vector<flow::Endpoint> owningChunk(const Services& aServices,
                                        const flow::FlowKey& aFlow,
                                        std::size_t aChunk)
{
  std::size_t skipped = aChunk * kChunk;
  std::vector<flow::Endpoint> chunk;
  for (const ServiceRoutes* routes : aServices) {
    if (chunk.size() == kChunk) {
      break;
    }
    if (skipped >= routes->receivers()) {
      skipped -= routes->receivers();
      continue;
    }
    const auto agents = ranked(*routes, aFlow, false, skipped, kChunk - chunk.size());
    chunk.insert(chunk.end(), agents.begin(), agents.end());
    skipped = 0;
  }
  return chunk;
}

bool isLastOwningChunk(const Services& aServices, std::size_t aChunk)
{
  std::size_t receivers = 0;
  for (const ServiceRoutes* routes : aServices) {
    receivers += routes->receivers();
  }
  return (aChunk + 1) * kChunk >= receivers;
}

std::uint64_t listing(const Services& aServices)
{
  std::uint64_t hash = 0;
  for (const ServiceRoutes* routes : aServices) {
    hash = (hash ^ routes->identity()) * kPrime;
    hash = (hash ^ routes->fingerprint()) * kPrime;
  }
  return hash;
}

} // namespace cornelcross::routing
