#pragma once

#include "bench/policy/event_queue.hpp"

#include <deque>

namespace cornelcross::bench {

/// @brief An upstream: slots and a plain queue before them.
class UpstreamQueue
{
public:
  UpstreamQueue(EventQueue& aEvents, std::uint32_t aSlots) : mEvents(aEvents), mSlots(aSlots) {}

  /// @brief Runs a job of aWork after those that wait. aDone tells whether it was run.
  void start(base::Duration aWork, std::function<void(bool)> aDone);

  /// @brief Loses every job, then bears only aBears jobs at once for aLength.
  void restart(base::Duration aLength, std::uint32_t aBears);

  /// @brief Jobs that run or wait.
  std::uint32_t load() const { return mRunning + static_cast<std::uint32_t>(mWaiting.size()); }

  /// @brief Jobs that it bears at once now.
  std::uint32_t bears() const { return isCold() ? mColdSlots : mSlots; }

  bool isCold() const { return mEvents.now() < mColdUntil; }

  std::uint32_t incarnation() const { return mIncarnation; }

  /// @brief Highest load while cold.
  std::uint32_t coldPeak() const { return mColdPeak; }

  /// @brief Mean load since the last call.
  double takeMeanLoad();

private:
  struct Job
  {
    base::Duration mWork;
    std::function<void(bool)> mDone;
  };

  void startNext();
  void integrate();

  EventQueue& mEvents;
  std::uint32_t mSlots;
  std::deque<Job> mWaiting;
  std::uint32_t mRunning = 0;
  std::uint32_t mIncarnation = 0;
  std::uint32_t mColdSlots = 0;
  std::uint32_t mColdPeak = 0;
  base::Time mColdUntil;
  base::Time mIntegrated;
  base::Time mTaken;
  double mIntegral = 0; ///< request seconds
};

} // namespace cornelcross::bench
