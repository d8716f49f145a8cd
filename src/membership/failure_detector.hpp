#pragma once

#include "flow/endpoint.hpp"
#include "membership/failure_detector_settings.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelcross::membership {

/// @brief Suspects peers that are in use and do not reply to probes.
///
/// Probes only peers to which packets are sent. A suspicion is a hint for the order in which
/// candidates are visited. A suspicion ends with the next reply of the peer, or once the peer has
/// not been used for FailureDetectorSettings::mUnusedTimeout.
///
/// Deterministic: the caller passes the current time to each call.
class FailureDetector
{
public:
  explicit FailureDetector(const FailureDetectorSettings& aSettings = {});

  /// @brief Records that a packet is sent to aPeer, or would be sent if aPeer were not suspected.
  void recordUse(base::Time aNow, flow::Endpoint aPeer);

  /// @brief Records a reply of aPeer to a message of this process. An unsolicited message is not a
  /// reply: it does not show that the path to aPeer works.
  void recordReply(base::Time aNow, flow::Endpoint aPeer);

  /// @brief True if aPeer has not replied to FailureDetectorSettings::mMaxUnansweredProbes
  /// successive probes.
  bool isSuspected(flow::Endpoint aPeer) const;

  /// @brief True if aPeer has been suspected for longer than
  /// FailureDetectorSettings::mUnreachableAfter.
  bool isUnreachable(base::Time aNow, flow::Endpoint aPeer) const;

  /// @brief True if datagrams to aPeer are to be sent from the alternate one of two source ports.
  ///
  /// The port changes with each probe of a suspected peer, because a device on the path may have
  /// lost its state for one pair of ports permanently. The port of an answered probe stays in use.
  bool usesAlternatePort(flow::Endpoint aPeer) const;

  /// @brief Records a probe that aPeer sent. After more than
  /// FailureDetectorSettings::mMaxUnansweredProbes, every second attempt changes the source port of
  /// this process's datagrams to aPeer.
  /// @param aAttempt number of probes that aPeer has sent since its last reply from this process
  void recordProbe(base::Time aNow, flow::Endpoint aPeer, std::uint32_t aAttempt);

  /// @brief Number of probes sent to aPeer since its last reply.
  std::uint32_t unansweredProbes(flow::Endpoint aPeer) const;

  /// @brief Moves the suspected peers at index aFrom and above behind the others, sorted by their
  /// last reply, the most recent first. The order of the others does not change.
  /// @return number of suspected peers at index aFrom and above
  std::size_t moveSuspectsLast(std::vector<flow::Endpoint>& aPeers, std::size_t aFrom) const;

  /// @brief Selects the peers to probe now, within the limit on probes per second, and counts a
  /// probe to each of them. To be called a few times a second.
  ///
  /// Discards all peers and suspicions after a pause of this process: replies were missing because
  /// this process did not run.
  /// @note O(n) for n peers in use
  std::vector<flow::Endpoint> selectProbeTargets(base::Time aNow);

  /// @brief Number of suspected peers.
  std::size_t suspectCount() const { return mSuspectCount; }

  /// @brief Number of probes selected so far.
  std::uint64_t probesSent() const { return mProbesSent; }

private:
  struct Peer
  {
    base::Time mLastReply;
    base::Time mLastUsed;
    base::Time mLastProbe;
    base::Time mSuspectedSince;
    std::uint32_t mUnansweredProbes = 0;
    bool mIsSuspected = false;
    bool mUsesAlternatePort = false;
  };

  bool isDue(base::Time aNow, const Peer& aPeer) const;
  void removeUnused(base::Time aNow);
  std::size_t takeProbeBudget(base::Time aNow, std::size_t aWanted);
  void recordProbeSent(base::Time aNow, Peer& aPeer);

  FailureDetectorSettings mSettings;
  std::unordered_map<flow::Endpoint, Peer, flow::EndpointHash> mPeers;
  std::size_t mSuspectCount = 0;
  bool mHasUsedAlternatePort = false; ///< true once any peer has used the alternate port
  std::uint64_t mProbesSent = 0;
  std::optional<base::Time> mLastRun;
  base::Time mBudgetPeriodStart;
  std::size_t mBudgetUsedProbes = 0;
};

} // namespace cornelcross::membership
