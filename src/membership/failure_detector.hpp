#pragma once

#include "flow/endpoint.hpp"
#include "membership/failure_detector_settings.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

/// @brief What a process knows of the others: who answers, and which revision is confirmed.
namespace cornelcross::membership {

/// @brief Suspects peers that receive packets and give no sign of life.
///
/// Only peers in use are watched. A suspicion is a hint for the order in which peers are asked: it
/// ends with the next sign of life, or when the peer has been out of use for a while.
/// Deterministic: time comes with each call.
class FailureDetector
{
public:
  explicit FailureDetector(const FailureDetectorSettings& aSettings = {});

  /// @brief A packet goes to aPeer, or would go there if it weren't suspected.
  void recordUse(base::Time aNow, flow::Endpoint aPeer);

  /// @brief aPeer answered something that was sent to it. What it sends on its own proves nothing
  /// of the way there.
  void recordReply(base::Time aNow, flow::Endpoint aPeer);

  /// @brief True if aPeer has left its last probes unanswered.
  bool isSuspected(flow::Endpoint aPeer) const;

  /// @brief True if aPeer has been suspected for longer than the setting.
  bool isUnreachable(base::Time aNow, flow::Endpoint aPeer) const;

  /// @brief True if datagrams to aPeer are to leave from the other one of two source ports. It
  /// changes with each probe of a suspect, as something in between may have lost track of a pair of
  /// ports for good, and stays with the one that was answered.
  bool usesAlternatePort(flow::Endpoint aPeer) const;

  /// @brief aPeer sent a probe, its aAttempt-th since it had an answer: after some of them the
  /// answers are to take the other port.
  void recordProbe(base::Time aNow, flow::Endpoint aPeer, std::uint32_t aAttempt);

  /// @brief Probes of aPeer since its last answer.
  std::uint32_t unansweredProbes(flow::Endpoint aPeer) const;

  /// @brief Moves the suspects from index aFrom on behind the others; those that were heard of last
  /// come first among them.
  /// @return number of suspects
  std::size_t moveSuspectsLast(std::vector<flow::Endpoint>& aPeers, std::size_t aFrom) const;

  /// @brief Peers to probe now, within the bound on probes; called a few times a second. Forgets
  /// all suspicions after a pause of this process, in which the silence was its own.
  /// @note O(n) for n peers in use
  std::vector<flow::Endpoint> selectProbeTargets(base::Time aNow);

  /// @brief Peers suspected now.
  std::size_t suspectCount() const { return mSuspects; }

  /// @brief Probes asked for so far.
  std::uint64_t probesSent() const { return mProbes; }

private:
  struct Peer
  {
    base::Time mLastHeard;
    base::Time mLastUsed;
    base::Time mLastProbe;
    base::Time mSuspectedSince;
    std::uint32_t mOpenProbes = 0; ///< since the last sign of life
    bool mIsSuspected = false;
    bool mUsesAlternatePort = false;
  };

  bool isDue(base::Time aNow, const Peer& aPeer) const;
  void forgetUnused(base::Time aNow);
  std::size_t takeBudget(base::Time aNow, std::size_t aWanted);
  void probe(base::Time aNow, Peer& aPeer);

  FailureDetectorSettings mSettings;
  std::unordered_map<flow::Endpoint, Peer, flow::EndpointHash> mPeers;
  std::size_t mSuspects = 0;
  bool mHasChangedPort = false; ///< of any peer so far
  std::uint64_t mProbes = 0;
  std::optional<base::Time> mLastRun;
  base::Time mBudgetSince;
  std::size_t mBudgetUsed = 0;
};

} // namespace cornelcross::membership
