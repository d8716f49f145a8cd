#include "membership/peer_set.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace cornelcross::membership {

namespace {

constexpr std::size_t kMaxRecentSenders = 64;
constexpr base::Duration kRecentSenderTimeout = std::chrono::seconds(60);
constexpr std::size_t kMaxDrawsPerPeer = 8;

/// Relative probabilities of the pools that are not empty: agents of the own zone, agents of other
/// zones, recent senders, seeds.
constexpr std::array<std::size_t, 4> kPoolWeights{ 8, 2, 5, 1 };

std::uint64_t rendezvousScore(flow::Endpoint aEndpoint)
{
  // One step of SplitMix64. Any fixed hash works, as long as all processes use the same one.
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
  mZoneRank = 0;
  const std::uint64_t ownScore = rendezvousScore(mSelf);
  const std::string zone = aZone.empty() ? zoneOf(aConfiguration, mSelf) : aZone;
  for (const auto& [name, service] : aConfiguration.mServices) {
    for (const config::Upstream& upstream : service.mUpstreams) {
      if (upstream.mAgent == mSelf) {
        continue;
      }
      const bool isInOwnZone = upstream.mZone == zone;
      (isInOwnZone ? mZoneAgents : mOtherAgents).push_back(upstream.mAgent);
      mZoneRank += isInOwnZone && rendezvousScore(upstream.mAgent) < ownScore ? 1 : 0;
    }
  }
}

void PeerSet::setSeeds(std::vector<flow::Endpoint> aSeeds)
{
  mSeeds = std::move(aSeeds);
  std::erase(mSeeds, mSelf);
}

void PeerSet::recordSender(base::Time aNow, flow::Endpoint aPeer)
{
  if (aPeer == mSelf || aPeer.mPort == 0) {
    return;
  }
  const auto found = mLastReceived.find(aPeer);
  if (found != mLastReceived.end()) {
    found->second = aNow;
  } else if (mRecentSenders.size() < kMaxRecentSenders) {
    mLastReceived.emplace(aPeer, aNow);
    mRecentSenders.push_back(aPeer);
  }
}

void PeerSet::expire(base::Time aNow)
{
  std::erase_if(mLastReceived,
                [&](const auto& aEntry) { return aNow - aEntry.second > kRecentSenderTimeout; });
  std::erase_if(mRecentSenders,
                [&](flow::Endpoint aPeer) { return !mLastReceived.contains(aPeer); });
}

const std::vector<flow::Endpoint>& PeerSet::selectPool(Random& aRandom) const
{
  const std::array pools{ &mZoneAgents, &mOtherAgents, &mRecentSenders, &mSeeds };
  std::array<std::size_t, pools.size()> weights{};
  for (std::size_t i = 0; i < pools.size(); ++i) {
    weights[i] = pools[i]->empty() ? 0 : kPoolWeights[i];
  }
  std::size_t draw =
    aRandom.below(std::accumulate(weights.begin(), weights.end(), std::size_t{ 0 }));
  std::size_t chosen = 0;
  while (draw >= weights[chosen]) {
    draw -= weights[chosen++];
  }
  return *pools[chosen];
}

std::vector<flow::Endpoint> PeerSet::sample(Random& aRandom, std::size_t aCount) const
{
  std::vector<flow::Endpoint> chosen;
  if (size() == 0) {
    return chosen;
  }
  for (std::size_t draws = 0; draws < kMaxDrawsPerPeer * aCount && chosen.size() < aCount;
       ++draws) {
    const auto& pool = selectPool(aRandom);
    const flow::Endpoint peer = pool[aRandom.below(pool.size())];
    if (std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
      chosen.push_back(peer);
    }
  }
  return chosen;
}

bool PeerSet::isReader(std::size_t aReaders) const
{
  return aReaders == 0 || mZoneRank < aReaders;
}

std::size_t PeerSet::size() const
{
  return mSeeds.size() + mZoneAgents.size() + mOtherAgents.size() + mRecentSenders.size();
}

} // namespace cornelcross::membership
