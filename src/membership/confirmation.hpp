#pragma once

#include "membership/settings.hpp"

#include <set>

namespace cornelcross::membership {

/// @brief Holds back forwarding until the revision in force has been confirmed: after a start and
/// after every pause of the process.
///
/// Confirmed means that a peer whose own view is confirmed told a revision that this process has
/// reached; or, when no such peer answered, that the service answered and every peer asked has
/// answered or had its time. Settings::mConfirmTimeout after the last progress, a process that has
/// a configuration acts on it in any case: the peers and the service may all be out of reach for
/// hours.
class Confirmation
{
public:
  explicit Confirmation(const Settings& aSettings) : mSettings(aSettings) {}

  /// @brief Starts a round: nothing that was heard before counts any more.
  void begin(base::Time aNow);

  /// @brief Notes that aPeer was asked.
  void asked(base::Time aNow, flow::Endpoint aPeer);

  /// @brief A peer answered a question of this round.
  void replied(flow::Endpoint aPeer, std::uint64_t aRevision, bool aIsConfirmed);

  /// @brief The service answered with its revision.
  void serviceAnswered(std::uint64_t aRevision);

  /// @brief Ends the round if the conditions hold. @return true if it ended now
  bool update(base::Time aNow, std::uint64_t aRevision);

  /// @brief True between rounds.
  bool isConfirmed() const { return mIsConfirmed; }

  /// @brief True if the last round ended by its timeout.
  bool hasTimedOut() const { return mHasTimedOut; }

private:
  bool holds(base::Time aNow, std::uint64_t aRevision) const;

  Settings mSettings;
  bool mIsConfirmed = false;
  bool mHasTimedOut = false;
  bool mHasConfirmedReply = false;
  bool mHasServiceAnswer = false;
  std::uint64_t mTarget = 0;
  std::uint64_t mReached = 0;
  base::Time mProgressAt; ///< begin of the round or last step towards mTarget
  base::Time mAskedAt;
  std::set<flow::Endpoint> mWaitingFor;
};

} // namespace cornelcross::membership
