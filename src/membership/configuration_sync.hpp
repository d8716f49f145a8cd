#pragma once

#include "membership/actions.hpp"
#include "membership/confirmation.hpp"
#include "membership/peer_set.hpp"
#include "membership/pull_schedule.hpp"
#include "membership/service_schedule.hpp"

namespace cornelcross::membership {

/// @brief Decides whom to tell, whom to ask and whether this process may forward. Deterministic:
/// has no clock or socket, and its random choices follow from the seed.
///
/// Spreading is a push-pull epidemic (Demers and others, 1987): a new revision is announced at
/// once to a few random peers, every heartbeat and every other frame carries the sender's
/// revision, and whoever is behind pulls from whoever is ahead.
class ConfigurationSync
{
public:
  explicit ConfigurationSync(const Settings& aSettings);

  /// @brief The process starts.
  Actions start(base::Time aNow);

  /// @brief Called about ten times a second.
  Actions onTick(base::Time aNow);

  /// @brief Any frame of a process that holds aRevision.
  Actions onFrame(base::Time aNow, flow::Endpoint aFrom, std::uint64_t aRevision);

  /// @brief A heartbeat; its frame carried aRevision.
  Actions onHeartbeat(base::Time aNow, std::uint64_t aRevision, const wire::Heartbeat& aHeartbeat);

  /// @brief The pull in progress ended; empty if it failed. What it brought was applied before.
  Actions onPulled(base::Time aNow, std::optional<std::uint64_t> aRevision);

  /// @brief A read of the service ended; empty if it failed. What it brought was applied before.
  Actions onServiceAnswer(base::Time aNow, std::optional<std::uint64_t> aRevision);

  /// @brief A configuration came into force; aRejected lists keys whose newest document is faulty.
  Actions apply(base::Time aNow,
                const config::Configuration& aConfiguration,
                std::vector<std::string> aRejected);

  /// @brief The processes that may be asked have changed.
  void setSeeds(std::vector<flow::Endpoint> aSeeds) { mPeers.setSeeds(std::move(aSeeds)); }

  /// @brief What earlier configurations left behind is known; no peer is asked for it any more.
  void onRetainedStateComplete() { mNeedsRetainedState = false; }

  /// @brief Notices a pause of this process; called before a packet is decided on.
  Actions observe(base::Time aNow);

  /// @brief True if packets may be forwarded under the revision in force.
  bool mayForward() const { return mConfirmation.isConfirmed(); }

  /// @brief True if this process holds a watch at the service.
  bool isReader() const { return mPeers.isReader(mSettings.mReadersPerZone); }

  /// @brief Age of the newest answer of the service that this process heard of.
  std::optional<base::Duration> serviceAge(base::Time aNow) const { return mService.age(aNow); }

  /// @brief Processes that this one may ask.
  std::size_t peers() const { return mPeers.size(); }

private:
  wire::Heartbeat makeHeartbeat(base::Time aNow) const;
  void tell(base::Time aNow, std::size_t aPeers, Actions& aActions);
  void confirm(base::Time aNow, Actions& aActions);
  void finishConfirmation(base::Time aNow, Actions& aActions);
  void pull(base::Time aNow, Actions& aActions);
  void readService(base::Time aNow, Actions& aActions);
  void recordRetainedStatePeer(base::Time aNow, flow::Endpoint aPeer);
  void pullRetainedState(base::Time aNow, Actions& aActions);
  void hint(base::Time aNow, flow::Endpoint aPeer, std::uint64_t aRevision);

  Settings mSettings;
  Random mRandom;
  PeerSet mPeers;
  PullSchedule mPulls;
  ServiceSchedule mService;
  Confirmation mConfirmation;
  std::uint64_t mRevision = 0;
  std::vector<std::string> mRejected;
  unsigned mRejectedTries = 0;
  std::uint32_t mNonce = 0;
  base::Time mObservedAt;
  base::Time mHeartbeatAt;
  base::Time mConfirmAt;
  base::Time mRejectedAt;
  bool mNeedsRetainedState = true;
  std::optional<flow::Endpoint> mRetainedStatePeer; ///< whom to ask for it
  base::Time mNextRetainedStatePull;                ///< when to ask next
  unsigned mRetainedStatePulls = 0;
};

} // namespace cornelcross::membership
