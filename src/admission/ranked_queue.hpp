#pragma once

#include "admission/fair_queue.hpp"
#include "admission/queue_position.hpp"

namespace cornelcross::admission {

/// @brief Bounded queue that serves the items of the lowest rank first, and the workspaces of one
/// rank round robin. While items of several ranks wait, each tenth turn goes to the item that has
/// waited longest, so that no rank starves. A full queue evicts the newest item of the highest
/// rank, from the workspace with most items.
/// @tparam T type of the queued items
template<class T>
class RankedQueue
{
public:
  /// @param aCapacity maximum number of items of all ranks
  explicit RankedQueue(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Adds an item. @return the item that was evicted, if the queue was full
  std::optional<T> push(base::Time aNow, const QueuePosition& aPosition, T aItem)
  {
    auto& queue = mRanks.try_emplace(aPosition.mRank, mCapacity + 1).first->second;
    queue.push(aNow, aPosition.mWorkspace, Entry{ aPosition.mExpiresAt, std::move(aItem) });
    if (++mSize <= mCapacity) {
      return std::nullopt;
    }
    const auto last = std::prev(mRanks.end());
    std::optional<Entry> evicted = last->second.evictNewest();
    --mSize;
    eraseIfEmpty(last);
    return std::move(evicted->mItem);
  }

  /// @brief Removes and returns the next item; empty if the queue is empty.
  std::optional<T> pop()
  {
    if (mSize == 0) {
      return std::nullopt;
    }
    auto rank = mRanks.begin();
    const bool isTurnOfLongestWait = mRanks.size() > 1 && ++mTurn % kTurnsOfRanks == 0;
    if (isTurnOfLongestWait) {
      rank =
        std::min_element(mRanks.begin(), mRanks.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.oldestEnqueuedAt() < aRight.second.oldestEnqueuedAt();
        });
    }
    std::optional<Entry> entry =
      isTurnOfLongestWait ? rank->second.popOldest() : rank->second.pop();
    --mSize;
    eraseIfEmpty(rank);
    return std::move(entry->mItem);
  }

  /// @brief Removes and returns every item that has expired. @note O(n) for n items
  std::vector<T> removeExpired(base::Time aNow)
  {
    return removeIf([aNow](const Entry& aEntry) { return aEntry.mExpiresAt < aNow; });
  }

  /// @brief Removes and returns all items.
  std::vector<T> removeAll()
  {
    return removeIf([](const Entry&) { return true; });
  }

  /// @brief Number of items.
  std::size_t size() const { return mSize; }

  /// @brief Number of items that are served before a new item of rank aRank, apart from the turns
  /// of the longest wait.
  std::size_t sizeUpTo(std::uint32_t aRank) const
  {
    std::size_t size = 0;
    for (auto rank = mRanks.begin(); rank != mRanks.end() && rank->first <= aRank; ++rank) {
      size += rank->second.size();
    }
    return size;
  }

private:
  static constexpr std::uint32_t kTurnsOfRanks = 10;

  struct Entry
  {
    base::Time mExpiresAt;
    T mItem;
  };

  using Ranks = std::map<std::uint32_t, FairQueue<Entry>>;

  template<class Predicate>
  std::vector<T> removeIf(Predicate aPredicate)
  {
    std::vector<T> items;
    for (auto rank = mRanks.begin(); rank != mRanks.end();) {
      for (Entry& entry : rank->second.removeIf(aPredicate)) {
        items.push_back(std::move(entry.mItem));
      }
      rank = eraseIfEmpty(rank);
    }
    mSize -= items.size();
    return items;
  }

  typename Ranks::iterator eraseIfEmpty(typename Ranks::iterator aRank)
  {
    return aRank->second.size() == 0 ? mRanks.erase(aRank) : std::next(aRank);
  }

  std::size_t mCapacity;
  Ranks mRanks;
  std::size_t mSize = 0;
  std::uint32_t mTurn = 0;
};

} // namespace cornelcross::admission
