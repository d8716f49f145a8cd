#pragma once

#include "config/configuration.hpp"
#include "membership/random.hpp"

#include <map>

namespace cornelcross::membership {

/// @brief Processes that this one may ask: agents from the configuration, seeds from the settings
/// and balancers that were heard. Bounded whatever the size of the fleet but for the agents, which
/// take 6 bytes each.
class PeerSet
{
public:
  PeerSet(flow::Endpoint aSelf, std::vector<flow::Endpoint> aSeeds);

  /// @brief Takes the agents of a configuration. An empty zone stands for the one in which the
  /// configuration lists this process. @note O(n) in the upstreams
  void apply(const config::Configuration& aConfiguration, const std::string& aZone);

  /// @brief Replaces the seeds.
  void setSeeds(std::vector<flow::Endpoint> aSeeds);

  /// @brief Notes that a process was heard.
  void heard(base::Time aNow, flow::Endpoint aPeer);

  /// @brief Forgets processes that have been quiet for long and aren't configured.
  void expire(base::Time aNow);

  /// @brief Up to aCount different peers; most are of the own zone, some of any other, so that
  /// little crosses zones while no zone is cut off from news.
  std::vector<flow::Endpoint> sample(Random& aRandom, std::size_t aCount) const;

  /// @brief True if this process is among the aReaders first of its zone by rendezvous hashing.
  /// Balancers, which aren't listed, count themselves against the zone's agents.
  bool isReader(std::size_t aReaders) const;

  /// @brief Processes known.
  std::size_t size() const;

private:
  const std::vector<flow::Endpoint>& choosePool(Random& aRandom) const;

  flow::Endpoint mSelf;
  std::vector<flow::Endpoint> mSeeds;
  std::vector<flow::Endpoint> mZoneAgents;
  std::vector<flow::Endpoint> mOtherAgents;
  std::vector<flow::Endpoint> mHeard;
  std::map<flow::Endpoint, base::Time> mHeardAt;
  std::size_t mRank = 0;
};

} // namespace cornelcross::membership
