#pragma once

#include "base/time.hpp"

#include <functional>
#include <queue>
#include <vector>

/// @brief Measures placement and admission of one service's flows.
namespace cornelcross::bench {

/// @brief Callbacks in the order of their times; those of one time in the order of their adding.
class EventQueue
{
public:
  base::Time now() const { return mNow; }

  /// @brief Calls aCallback after aDelay.
  void after(base::Duration aDelay, std::function<void()> aCallback)
  {
    mEvents.push({ mNow + aDelay, mAdded++, std::move(aCallback) });
  }

  /// @brief Runs every callback until aEnd.
  void run(base::Time aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      event.mCallback();
    }
    mNow = aEnd;
  }

private:
  struct Event
  {
    base::Time mTime;
    std::uint64_t mOrder = 0;
    std::function<void()> mCallback;

    bool operator<(const Event& aOther) const
    {
      return mTime != aOther.mTime ? mTime > aOther.mTime : mOrder > aOther.mOrder;
    }
  };

  std::priority_queue<Event> mEvents;
  base::Time mNow;
  std::uint64_t mAdded = 0;
};

} // namespace cornelcross::bench
