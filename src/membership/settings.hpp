#pragma once

#include "base/time.hpp"
#include "flow/endpoint.hpp"

#include <string>
#include <vector>

namespace cornelcross::membership {

/// @brief Settings of the membership decisions.
struct Settings
{
  flow::Endpoint mSelf; ///< this process, as others reach it
  std::string mZone;    ///< availability zone; an agent's is also in the configuration
  std::vector<flow::Endpoint> mSeeds; ///< peers that a starting process asks
  std::uint32_t mReadersPerZone = 2;  ///< readers of the service in a zone; 0: every process reads
  std::uint64_t mRandomSeed = 1;      ///< seed of every random choice

  base::Duration mHeartbeatInterval = std::chrono::seconds(1);
  std::size_t mHeartbeatPeers = 2; ///< peers that each heartbeat goes to
  std::size_t mAnnouncePeers = 4;  ///< peers that are told at once of a new revision
  std::size_t mConfirmPeers = 3;   ///< peers that are asked before forwarding
  base::Duration mPullJitter = std::chrono::milliseconds(200);
  base::Duration mPullDeadline = std::chrono::seconds(3);          ///< for one pull as a whole
  base::Duration mPullMinBackoff = std::chrono::milliseconds(100); ///< after a failed pull
  base::Duration mPullMaxBackoff = std::chrono::seconds(5);
  base::Duration mPeerReplyTimeout = std::chrono::seconds(1);
  base::Duration mConfirmTimeout = std::chrono::seconds(5); ///< then it acts anyway
  base::Duration mPauseGap = std::chrono::seconds(2);       ///< a clock gap that counts as a pause
  base::Duration mServiceStaleAfter = std::chrono::seconds(20);
  base::Duration mServiceStaleJitter = std::chrono::seconds(60);
  base::Duration mServiceMinBackoff = std::chrono::milliseconds(500); ///< after a failed read
  base::Duration mServiceMaxBackoff = std::chrono::seconds(60);
  base::Duration mSeedLeadTime = std::chrono::milliseconds(300); ///< before a start's first read
  bool mServiceIsLinearizable = false; ///< its answer alone confirms a revision

  auto operator<=>(const Settings&) const = default;
};

} // namespace cornelcross::membership
