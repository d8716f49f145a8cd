#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cornelcross::admission {

/// @brief Waiting items of several workspaces; the workspaces take turns. When it is full, the
/// longest queue gives its newest item up (McKenney, "Stochastic fairness queueing", 1990).
/// @tparam T what waits
template<class T>
class FairQueue
{
public:
  /// @param aCapacity items that wait at most
  explicit FairQueue(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Adds an item. @return the item that had to give way, if the queue was full
  std::optional<T> push(base::Time aNow, std::size_t aWorkspace, T aItem)
  {
    std::deque<Entry>& queue = mQueues[aWorkspace];
    queue.push_back({ aNow, std::move(aItem) });
    if (++mSize <= mCapacity) {
      return std::nullopt;
    }
    const auto longest =
      std::max_element(mQueues.begin(), mQueues.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.size() < aRight.second.size();
      });
    T item = std::move(longest->second.back().mItem);
    longest->second.pop_back();
    --mSize;
    eraseIfEmpty(longest);
    return item;
  }

  /// @brief Takes the next item: the oldest one of the workspace whose turn it is.
  std::optional<T> pop()
  {
    if (mSize == 0) {
      return std::nullopt;
    }
    auto next = mQueues.upper_bound(mLast);
    next = next == mQueues.end() ? mQueues.begin() : next;
    mLast = next->first;
    T item = std::move(next->second.front().mItem);
    next->second.pop_front();
    --mSize;
    eraseIfEmpty(next);
    return item;
  }

  /// @brief Takes every item that was added before aTime.
  std::vector<T> removeOlderThan(base::Time aTime)
  {
    std::vector<T> items;
    for (auto queue = mQueues.begin(); queue != mQueues.end();) {
      while (!queue->second.empty() && queue->second.front().mSince < aTime) {
        items.push_back(std::move(queue->second.front().mItem));
        queue->second.pop_front();
        --mSize;
      }
      queue = eraseIfEmpty(queue);
    }
    return items;
  }

  /// @brief Items that wait.
  std::size_t size() const { return mSize; }

private:
  struct Entry
  {
    base::Time mSince;
    T mItem;
  };

  using Queues = std::map<std::size_t, std::deque<Entry>>;

  typename Queues::iterator eraseIfEmpty(typename Queues::iterator aQueue)
  {
    return aQueue->second.empty() ? mQueues.erase(aQueue) : std::next(aQueue);
  }

  std::size_t mCapacity;
  Queues mQueues;
  std::size_t mSize = 0;
  std::size_t mLast = 0;
};

} // namespace cornelcross::admission
