#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <functional>
#include <map>

namespace cornelcross::test {

/// @brief Simulated time: runs functions at their times, those of the same time in order of
/// insertion.
class EventQueue
{
public:
  base::Time now() const { return mNow; }

  /// @brief Number of functions that have run.
  std::size_t count() const { return mCount; }

  /// @brief Runs aFunction at aTime, which is not before now().
  void at(base::Time aTime, std::function<void()> aFunction)
  {
    mEvents.emplace(std::max(aTime, mNow), std::move(aFunction));
  }

  /// @brief Runs aFunction after aDelay.
  void after(base::Duration aDelay, std::function<void()> aFunction)
  {
    at(mNow + aDelay, std::move(aFunction));
  }

  /// @brief Runs all functions that are due until aEnd.
  void runUntil(base::Time aEnd)
  {
    while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      ++mCount;
      event.mapped()();
    }
    mNow = aEnd;
  }

private:
  base::Time mNow{ std::chrono::seconds(100) };
  std::size_t mCount = 0;
  std::multimap<base::Time, std::function<void()>> mEvents;
};

} // namespace cornelcross::test
