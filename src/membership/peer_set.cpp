#include "membership/peer_set.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace cornelcross::membership {

namespace {

constexpr std::size_t kMaxHeard = 64; // processes
constexpr base::Duration kHeardTimeout = std::chrono::seconds(60);
constexpr std::size_t kTriesPerPeer = 8;

/// Relative chances of each pool that isn't empty: own zone, other zones, heard processes, seeds.
constexpr std::array<std::size_t, 4> kPoolShares{ 8, 2, 5, 1 };

std::uint64_t scoreOf(flow::Endpoint aEndpoint)
{
  // SplitMix64 step over the endpoint: any fixed hash serves, as all must agree on it.
  std::uint64_t value =
    (static_cast<std::uint64_t>(aEndpoint.mAddress.mValue) << 16U) | aEndpoint.mPort;
  value += 0x9E3779B97F4A7C15ULL;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

std::string zoneOf(const config::Configuration& aConfiguration, flow::Endpoint aAgent)
{
  for (const auto& [name, service] : aConfiguration.mServices) {
    for (const config::Upstream& upstream : service.mUpstreams) {
      if (upstream.mAgent == aAgent) {
        return upstream.mZone;
      }
    }
  }
  return {};
}

} // namespace

PeerSet::PeerSet(flow::Endpoint aSelf, std::vector<flow::Endpoint> aSeeds)
  : mSelf(aSelf), mSeeds(std::move(aSeeds))
{
  std::erase(mSeeds, mSelf);
}

void PeerSet::apply(const config::Configuration& aConfiguration, const std::string& aZone)
{
  mZoneAgents.clear();
  mOtherAgents.clear();
  mRank = 0;
  const std::uint64_t ownScore = scoreOf(mSelf);
  const std::string zone = aZone.empty() ? zoneOf(aConfiguration, mSelf) : aZone;
  for (const auto& [name, service] : aConfiguration.mServices) {
    for (const config::Upstream& upstream : service.mUpstreams) {
      if (upstream.mAgent == mSelf) {
        continue;
      }
      const bool isNear = upstream.mZone == zone;
      (isNear ? mZoneAgents : mOtherAgents).push_back(upstream.mAgent);
      mRank += isNear && scoreOf(upstream.mAgent) < ownScore ? 1 : 0;
    }
  }
}

void PeerSet::setSeeds(std::vector<flow::Endpoint> aSeeds)
{
  mSeeds = std::move(aSeeds);
  std::erase(mSeeds, mSelf);
}

void PeerSet::heard(base::Time aNow, flow::Endpoint aPeer)
{
  if (aPeer == mSelf || aPeer.mPort == 0) {
    return;
  }
  const auto found = mHeardAt.find(aPeer);
  if (found != mHeardAt.end()) {
    found->second = aNow;
  } else if (mHeard.size() < kMaxHeard) {
    mHeardAt.emplace(aPeer, aNow);
    mHeard.push_back(aPeer);
  }
}

void PeerSet::expire(base::Time aNow)
{
  std::erase_if(mHeardAt, [&](const auto& aEntry) { return aNow - aEntry.second > kHeardTimeout; });
  std::erase_if(mHeard, [&](flow::Endpoint aPeer) { return !mHeardAt.contains(aPeer); });
}

const std::vector<flow::Endpoint>& PeerSet::choosePool(Random& aRandom) const
{
  const std::array pools{ &mZoneAgents, &mOtherAgents, &mHeard, &mSeeds };
  std::array<std::size_t, pools.size()> shares{};
  for (std::size_t i = 0; i < pools.size(); ++i) {
    shares[i] = pools[i]->empty() ? 0 : kPoolShares[i];
  }
  std::size_t draw = aRandom.below(std::accumulate(shares.begin(), shares.end(), std::size_t{ 0 }));
  std::size_t chosen = 0;
  while (draw >= shares[chosen]) {
    draw -= shares[chosen++];
  }
  return *pools[chosen];
}

std::vector<flow::Endpoint> PeerSet::sample(Random& aRandom, std::size_t aCount) const
{
  std::vector<flow::Endpoint> chosen;
  if (size() == 0) {
    return chosen;
  }
  for (std::size_t tries = 0; tries < kTriesPerPeer * aCount && chosen.size() < aCount; ++tries) {
    const auto& pool = choosePool(aRandom);
    const flow::Endpoint peer = pool[aRandom.below(pool.size())];
    if (std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
      chosen.push_back(peer);
    }
  }
  return chosen;
}

bool PeerSet::isReader(std::size_t aReaders) const
{
  return aReaders == 0 || mRank < aReaders;
}

std::size_t PeerSet::size() const
{
  return mSeeds.size() + mZoneAgents.size() + mOtherAgents.size() + mHeard.size();
}

} // namespace cornelcross::membership
