#pragma once

#include "membership/settings.hpp"

#include <set>

namespace cornelcross::membership {

/// @brief Decides whether the active revision is confirmed. A process forwards no packet until
/// then, so that it does not act on a stale configuration after a start or a pause of the process.
///
/// Each start or pause begins a round of queries. The revision is confirmed in a round once this
/// process has reached the newest revision that any reply of the round reports, and
/// - a peer whose own revision is confirmed has replied, or
/// - the configuration service has responded, and every queried peer has replied or has exceeded
///   Settings::mPeerReplyTimeout; if the service is linearizable and lacks no active change, its
///   response alone suffices.
///
/// A round also ends Settings::mConfirmationTimeout after its last progress if the process has a
/// configuration: the peers and the service may all be unreachable for hours.
class Confirmation
{
public:
  explicit Confirmation(const Settings& aSettings) : mSettings(aSettings) {}

  /// @brief Starts a round and discards the replies of earlier rounds.
  void startRound(base::Time aNow);

  /// @brief Records a query that is sent to aPeer.
  void onQuerySent(base::Time aNow, flow::Endpoint aPeer);

  /// @brief Handles a peer's reply to a query of this round.
  /// @param aRevision    active revision of the peer
  /// @param aIsConfirmed whether the peer has confirmed its revision
  void onReply(flow::Endpoint aPeer, std::uint64_t aRevision, bool aIsConfirmed);

  /// @brief Handles a response of the configuration service, which is at aRevision.
  /// @param aIsCurrent false if the service may lack active changes
  void onServiceResponse(std::uint64_t aRevision, bool aIsCurrent);

  /// @brief Ends the round if aRevision, the active one, is confirmed or the round has timed out.
  /// @return true if this call ended the round
  bool update(base::Time aNow, std::uint64_t aRevision);

  /// @brief True if the last round has ended, by confirmation or by timeout.
  bool isConfirmed() const { return mIsConfirmed; }

  /// @brief True if the last round ended by timeout.
  bool hasTimedOut() const { return mHasTimedOut; }

private:
  bool isConditionMet(base::Time aNow, std::uint64_t aRevision) const;

  Settings mSettings;
  bool mIsConfirmed = false;
  bool mHasTimedOut = false;
  bool mHasConfirmedReply = false;
  bool mHasServiceResponse = false;
  bool mIsServiceCurrent = false;     ///< a response of the round lacks no active change
  std::uint64_t mTargetRevision = 0;  ///< newest revision that a reply of the round reports
  std::uint64_t mReachedRevision = 0; ///< active revision at the last update
  base::Time mLastProgress;           ///< start of the round or last step towards mTargetRevision
  base::Time mFirstQuerySent;
  std::set<flow::Endpoint> mPendingPeers;
};

} // namespace cornelcross::membership
