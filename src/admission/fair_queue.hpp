#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cornelcross::admission {

/// @brief Bounded queue that serves workspaces round robin. A full queue evicts the newest item of
/// the workspace with most items (McKenney, "Stochastic fairness queueing", 1990).
/// @tparam T type of the queued items
template<class T>
class FairQueue
{
public:
  /// @param aCapacity maximum number of items of all workspaces
  explicit FairQueue(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Adds an item in O(n) for n workspaces with items. @return the item that was evicted, if
  /// the queue was full
  std::optional<T> push(base::Time aNow, std::size_t aWorkspace, T aItem)
  {
    std::deque<Entry>& queue = mQueues[aWorkspace];
    queue.push_back({ aNow, std::move(aItem) });
    return ++mSize <= mCapacity ? std::nullopt : evictNewest();
  }

  /// @brief Removes and returns the newest item of the workspace with most items; empty if the
  /// queue is empty.
  std::optional<T> evictNewest()
  {
    if (mSize == 0) {
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

  /// @brief Removes and returns the oldest item of the next workspace; empty if the queue is empty.
  std::optional<T> pop()
  {
    if (mSize == 0) {
      return std::nullopt;
    }
    auto next = mQueues.upper_bound(mLastWorkspace);
    next = next == mQueues.end() ? mQueues.begin() : next;
    mLastWorkspace = next->first;
    T item = std::move(next->second.front().mItem);
    next->second.pop_front();
    --mSize;
    eraseIfEmpty(next);
    return item;
  }

  /// @brief Removes and returns the item that has waited longest; empty if the queue is empty.
  std::optional<T> popOldest()
  {
    if (mSize == 0) {
      return std::nullopt;
    }
    const auto oldest =
      std::min_element(mQueues.begin(), mQueues.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.front().mEnqueuedAt < aRight.second.front().mEnqueuedAt;
      });
    T item = std::move(oldest->second.front().mItem);
    oldest->second.pop_front();
    --mSize;
    eraseIfEmpty(oldest);
    return item;
  }

  /// @brief Removes and returns every item for which aPredicate is true, those of one workspace in
  /// the order in which they were added.
  template<class Predicate>
  std::vector<T> removeIf(Predicate aPredicate)
  {
    std::vector<T> items;
    for (auto queue = mQueues.begin(); queue != mQueues.end();) {
      std::deque<Entry> kept;
      for (Entry& entry : queue->second) {
        if (aPredicate(entry.mItem)) {
          items.push_back(std::move(entry.mItem));
        } else {
          kept.push_back(std::move(entry));
        }
      }
      queue->second = std::move(kept);
      queue = eraseIfEmpty(queue);
    }
    mSize -= items.size();
    return items;
  }

  /// @brief Time at which the oldest item was added; base::Time::max() if the queue is empty.
  base::Time oldestEnqueuedAt() const
  {
    base::Time oldest = base::Time::max();
    for (const auto& [workspace, queue] : mQueues) {
      oldest = std::min(oldest, queue.front().mEnqueuedAt);
    }
    return oldest;
  }

  /// @brief Number of items.
  std::size_t size() const { return mSize; }

private:
  struct Entry
  {
    base::Time mEnqueuedAt;
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
  std::size_t mLastWorkspace = 0;
};

} // namespace cornelcross::admission
