#pragma once

#include "config/configuration.hpp"
#include "membership/random.hpp"

#include <map>

namespace cornelcross::membership {

/// @brief Known peers: agents in the configuration, seeds in the settings, and recent senders of
/// frames, such as balancers, which are not configured.
///
/// The size is bounded except for the agents, which take 6 bytes each.
class PeerSet
{
public:
  PeerSet(flow::Endpoint aSelf, std::vector<flow::Endpoint> aSeeds);

  /// @brief Replaces the agents by those of a configuration.
  /// @param aZone availability zone of this process; if empty, the zone in which the configuration
  ///              lists this process
  /// @note O(n) for n upstreams
  void apply(const config::Configuration& aConfiguration, const std::string& aZone);

  /// @brief Replaces the seeds.
  void setSeeds(std::vector<flow::Endpoint> aSeeds);

  /// @brief Records the sender of a frame. Ignores a new sender while the maximum is stored.
  void recordSender(base::Time aNow, flow::Endpoint aPeer);

  /// @brief Removes senders that have sent no frame within the timeout.
  void expire(base::Time aNow);

  /// @brief Draws up to aCount distinct peers at random. Most are in the zone of this process, to
  /// limit traffic between zones; some are in other zones, so that revisions reach every zone.
  std::vector<flow::Endpoint> sample(Random& aRandom, std::size_t aCount) const;

  /// @brief True if aReaders is 0, or if fewer than aReaders agents of the zone have a lower
  /// rendezvous score than this process. A balancer, which the configuration does not list,
  /// compares its score with those of the agents of its zone.
  bool isReader(std::size_t aReaders) const;

  /// @brief Number of known peers; a peer known from two sources counts twice.
  std::size_t size() const;

private:
  const std::vector<flow::Endpoint>& selectPool(Random& aRandom) const;

  flow::Endpoint mSelf;
  std::vector<flow::Endpoint> mSeeds;
  std::vector<flow::Endpoint> mZoneAgents;
  std::vector<flow::Endpoint> mOtherAgents;
  std::vector<flow::Endpoint> mRecentSenders;
  std::map<flow::Endpoint, base::Time> mLastReceived;
  std::size_t mZoneRank = 0;
};

} // namespace cornelcross::membership
