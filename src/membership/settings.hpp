#pragma once

#include "base/time.hpp"
#include "flow/endpoint.hpp"

#include <string>
#include <vector>

namespace cornelcross::membership {

/// @brief Settings of ConfigurationSync.
struct Settings
{
  flow::Endpoint mSelf; ///< endpoint under which peers reach this process

  /// Availability zone. If empty, an agent uses its zone in the configuration.
  std::string mZone;

  /// Peers that a process queries at its start, before a configuration lists others.
  std::vector<flow::Endpoint> mSeeds;

  /// Processes per zone that watch the configuration service; 0 means all processes.
  std::uint32_t mReadersPerZone = 2;

  std::uint64_t mRandomSeed = 1; ///< seed of the random number generator

  base::Duration mHeartbeatInterval = std::chrono::seconds(1);
  std::size_t mHeartbeatPeerCount = 2;    ///< recipients of each periodic heartbeat
  std::size_t mAnnouncementPeerCount = 4; ///< recipients of the announcement of a new revision
  std::size_t mConfirmationPeerCount = 3; ///< recipients of each set of confirmation queries

  base::Duration mPullJitter = std::chrono::milliseconds(200); ///< see PullSchedule
  base::Duration mPullDeadline = std::chrono::seconds(3);      ///< limit for one pull as a whole

  /// Bound of the first delay after a failed pull, see Backoff.
  base::Duration mPullMinBackoff = std::chrono::milliseconds(100);
  base::Duration mPullMaxBackoff = std::chrono::seconds(5);

  base::Duration mPeerReplyTimeout = std::chrono::seconds(1);    ///< see Confirmation
  base::Duration mConfirmationTimeout = std::chrono::seconds(5); ///< see Confirmation

  /// Gap between two calls of ConfigurationSync that counts as a pause of the process.
  base::Duration mPauseThreshold = std::chrono::seconds(2);

  base::Duration mServiceStaleAfter = std::chrono::seconds(20);  ///< see ServiceSchedule
  base::Duration mServiceStaleJitter = std::chrono::seconds(60); ///< see ServiceSchedule

  /// Bound of the first delay after a failed read of the configuration service, see Backoff.
  base::Duration mServiceMinBackoff = std::chrono::milliseconds(500);
  base::Duration mServiceMaxBackoff = std::chrono::seconds(60);

  /// Time after its start in which a process that has seeds waits for peers before it reads the
  /// configuration service.
  base::Duration mSeedLeadTime = std::chrono::milliseconds(300);

  /// True if a response of the configuration service alone confirms a revision.
  bool mServiceIsLinearizable = false;

  auto operator<=>(const Settings&) const = default;
};

} // namespace cornelcross::membership
