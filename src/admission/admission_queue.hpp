#pragma once

#include "admission/ranked_queue.hpp"

namespace cornelcross::admission {

/// @brief Separate queues of the new flows and of the requests that wait for free capacity of an
/// upstream. Requests of established flows have priority, because admission of a flow commits the
/// upstream to serving it; the user of the queue dequeues requests first.
/// @tparam T type of the queued items
template<class T>
class AdmissionQueue
{
public:
  /// @param aMaxFlows    maximum number of queued new flows
  /// @param aMaxRequests maximum number of queued requests
  AdmissionQueue(std::size_t aMaxFlows, std::size_t aMaxRequests)
    : mFlows(aMaxFlows), mRequests(aMaxRequests)
  {
  }

  /// @brief Enqueues a new flow. @return the new flow that was evicted, if the queue was full
  std::optional<T> pushFlow(base::Time aNow, const QueuePosition& aPosition, T aItem)
  {
    return mFlows.push(aNow, aPosition, std::move(aItem));
  }

  /// @brief Enqueues a request. @return the request that was evicted, if the queue was full
  std::optional<T> pushRequest(base::Time aNow, const QueuePosition& aPosition, T aItem)
  {
    return mRequests.push(aNow, aPosition, std::move(aItem));
  }

  /// @brief Dequeues a request; empty if none is queued.
  std::optional<T> popRequest() { return mRequests.pop(); }

  /// @brief Dequeues a new flow; empty if none is queued.
  std::optional<T> popFlow() { return mFlows.pop(); }

  /// @brief Removes and returns the new flows that have expired.
  std::vector<T> removeExpiredFlows(base::Time aNow) { return mFlows.removeExpired(aNow); }

  /// @brief Removes and returns the requests that have expired.
  std::vector<T> removeExpiredRequests(base::Time aNow) { return mRequests.removeExpired(aNow); }

  /// @brief Removes and returns all new flows.
  std::vector<T> removeAllFlows() { return mFlows.removeAll(); }

  /// @brief Number of queued new flows.
  std::size_t queuedFlows() const { return mFlows.size(); }

  /// @brief Number of queued new flows that are admitted before a new one of rank aRank.
  std::size_t queuedFlowsUpTo(std::uint32_t aRank) const { return mFlows.sizeUpTo(aRank); }

  /// @brief Number of queued requests.
  std::size_t queuedRequests() const { return mRequests.size(); }

  /// @brief True if no new flow and no request is queued.
  bool empty() const { return queuedFlows() + queuedRequests() == 0; }

private:
  RankedQueue<T> mFlows;
  RankedQueue<T> mRequests;
};

} // namespace cornelcross::admission
