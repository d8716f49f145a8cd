#pragma once

#include "membership/actions.hpp"
#include "membership/confirmation.hpp"
#include "membership/peer_set.hpp"
#include "membership/pull_schedule.hpp"
#include "membership/service_schedule.hpp"

namespace cornelcross::membership {

/// @brief Keeps the configuration of a process up to date: decides when to send heartbeats and
/// confirmation queries and to which peers, when to pull and from which peer, when to read the
/// configuration service, and whether the process may forward packets.
///
/// Revisions spread by push-pull gossip (Demers et al., "Epidemic algorithms for replicated
/// database maintenance", 1987): a process announces a new revision immediately to a few random
/// peers, every frame carries the revision of its sender, and a process with an older revision
/// pulls from a peer with a newer one.
///
/// Deterministic: has no clock and no socket, and its random choices follow from
/// Settings::mRandomSeed.
class ConfigurationSync
{
public:
  explicit ConfigurationSync(const Settings& aSettings);

  /// @brief Starts the first confirmation round and schedules the first read of the configuration
  /// service.
  Actions start(base::Time aNow);

  /// @brief Sends what is due. To be called about ten times a second.
  Actions onTick(base::Time aNow);

  /// @brief Handles a frame of any kind from a process whose active revision is aRevision.
  Actions onFrame(base::Time aNow, flow::Endpoint aFrom, std::uint64_t aRevision);

  /// @brief Handles a heartbeat whose frame carries aRevision; replies if the heartbeat requests a
  /// reply or its sender has an older revision.
  Actions onHeartbeat(base::Time aNow, std::uint64_t aRevision, const wire::Heartbeat& aHeartbeat);

  /// @brief Handles the end of the pull in progress, after apply() for documents that it delivered.
  /// @param aRevision revision of the reply; empty if the pull failed
  Actions onPullFinished(base::Time aNow, std::optional<std::uint64_t> aRevision);

  /// @brief Handles the end of a read of the configuration service, after apply() for documents
  /// that it delivered.
  /// @param aRevision  revision of the response; empty if the read failed
  /// @param aIsCurrent false if the service may lack active changes
  Actions onServiceReadFinished(base::Time aNow,
                                std::optional<std::uint64_t> aRevision,
                                bool aIsCurrent = true);

  /// @brief Declares whether the active documents are provisional. Revisions do not order those of
  /// several processes, so that each of them reads the configuration service itself.
  void setProvisional(bool aIsProvisional) { mIsProvisional = aIsProvisional; }

  /// @brief Handles the activation of a configuration: updates the peers and announces the
  /// revision.
  /// @param aRejectedKeys keys whose newest document is invalid
  Actions apply(base::Time aNow,
                const config::Configuration& aConfiguration,
                std::vector<std::string> aRejectedKeys);

  /// @brief Replaces the seeds.
  void setSeeds(std::vector<flow::Endpoint> aSeeds) { mPeers.setSeeds(std::move(aSeeds)); }

  /// @brief Stops the pulls for state that peers retain of earlier configurations: this process has
  /// all of it.
  void onRetainedStateComplete() { mNeedsRetainedState = false; }

  /// @brief Detects a pause of this process by the time since the last call and starts a
  /// confirmation round after a pause: asks peers and the service whether there are changes. To be
  /// called before each decision about a packet.
  Actions detectPause(base::Time aNow);

  /// @brief True if the active revision is confirmed, so that packets may be forwarded.
  bool mayForward() const { return mConfirmation.isConfirmed(); }

  /// @brief True if this process is a reader, which watches the configuration service.
  bool isReader() const { return mPeers.isReader(mSettings.mReadersPerZone); }

  /// @brief Age of the newest response of the configuration service to this process or to a peer;
  /// empty if none is known.
  std::optional<base::Duration> serviceAge(base::Time aNow) const
  {
    return mServiceSchedule.responseAge(aNow);
  }

  /// @brief Number of known peers.
  std::size_t peerCount() const { return mPeers.size(); }

private:
  wire::Heartbeat makeHeartbeat(base::Time aNow) const;
  void sendHeartbeats(base::Time aNow, std::size_t aPeerCount, Actions& aActions);
  void sendConfirmationQueries(base::Time aNow, Actions& aActions);
  void updateConfirmation(base::Time aNow, Actions& aActions);
  void startPullIfDue(base::Time aNow, Actions& aActions);
  void decideFirstRead(base::Time aNow);
  void readServiceIfDue(base::Time aNow, Actions& aActions);
  void recordRetainedStatePeer(base::Time aNow, flow::Endpoint aPeer);
  void pullRetainedStateIfDue(base::Time aNow, Actions& aActions);
  void recordPeerRevision(base::Time aNow, flow::Endpoint aPeer, std::uint64_t aRevision);

  Settings mSettings;
  Random mRandom;
  PeerSet mPeers;
  PullSchedule mPullSchedule;
  ServiceSchedule mServiceSchedule;
  Confirmation mConfirmation;
  std::uint64_t mRevision = 0;
  std::vector<std::string> mRejectedKeys;
  unsigned mRejectedKeyPullsLeft = 0;
  std::uint32_t mNonce = 0;
  base::Time mLastCall;
  base::Time mNextHeartbeat;
  base::Time mNextConfirmationQuery;
  base::Time mNextRejectedKeyPull;
  std::optional<base::Time> mFirstReadDecision; ///< when to decide; empty once decided
  bool mIsProvisional = false;                  ///< see setProvisional()
  bool mIsReadOutdated = false;                 ///< a pause since the read in progress started
  bool mNeedsRetainedState = true;
  std::optional<flow::Endpoint> mRetainedStatePeer;
  base::Time mNextRetainedStatePull;
  unsigned mRetainedStatePulls = 0;
};

} // namespace cornelcross::membership
