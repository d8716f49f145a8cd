#pragma once

#include "base/time.hpp"
#include "unit/support/fingerprint.hpp"

#include <string>
#include <vector>

namespace cornelcross::test {

/// @brief What callers and upstreams saw in one run.
struct RunReport
{
  std::vector<std::string> mViolations;
  std::size_t mOpened = 0;       ///< flows that were established
  std::size_t mExempt = 0;       ///< resets of live flows that do not count
  std::size_t mExemptStrays = 0; ///< flows with stray packets that do not count
  std::size_t mDead = 0;         ///< flows used after their end and the return of their VM
  std::vector<base::Duration> mResetAfter; ///< of those that were reset
  std::size_t mEvents = 0;                 ///< functions that the event queue ran
  std::size_t mPackets = 0;                ///< that arrived at upstreams and callers
  Fingerprint mFingerprint;                ///< of these packets with their times

  /// @brief Adds the figures and violations of another run, but not its fingerprint.
  void add(const RunReport& aOther)
  {
    mViolations.insert(mViolations.end(), aOther.mViolations.begin(), aOther.mViolations.end());
    mOpened += aOther.mOpened;
    mExempt += aOther.mExempt;
    mExemptStrays += aOther.mExemptStrays;
    mDead += aOther.mDead;
    mEvents += aOther.mEvents;
    mPackets += aOther.mPackets;
    mResetAfter.insert(mResetAfter.end(), aOther.mResetAfter.begin(), aOther.mResetAfter.end());
  }
};

} // namespace cornelcross::test
