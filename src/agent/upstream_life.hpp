#pragma once

#include "base/time.hpp"

#include <optional>

namespace cornelcross::agent {

/// @brief Decides when to look whether the upstream's process still runs, and when it counts as
/// ended. Deterministic: time comes with each call.
class UpstreamLife
{
public:
  /// @brief Something that the upstream answers was delivered to it.
  void noteDelivered(base::Time aNow);

  /// @brief The upstream sent something.
  void noteHeard();

  /// @brief True if the upstream is to be looked at now. @param aIsLeaving it is about to end
  bool isCheckDue(base::Time aNow, bool aIsLeaving) const;

  /// @brief A look was taken. @return true if the upstream turned out to have ended now
  bool noteCheck(base::Time aNow, bool aIsRefused);

private:
  std::optional<base::Time> mUnansweredSince;
  base::Time mCheckedAt;
  unsigned mRefusals = 0; ///< in a row
  bool mHasEnded = false;
};

} // namespace cornelcross::agent
