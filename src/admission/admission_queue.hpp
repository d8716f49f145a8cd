#pragma once

#include "admission/fair_queue.hpp"

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
  std::optional<T> pushFlow(base::Time aNow, std::size_t aWorkspace, T aItem)
  {
    return mFlows.push(aNow, aWorkspace, std::move(aItem));
  }

  /// @brief Enqueues a request. @return the request that was evicted, if the queue was full
  std::optional<T> pushRequest(base::Time aNow, std::size_t aWorkspace, T aItem)
  {
    return mRequests.push(aNow, aWorkspace, std::move(aItem));
  }

  /// @brief Dequeues a request; empty if none is queued.
  std::optional<T> popRequest() { return mRequests.pop(); }

  /// @brief Dequeues a new flow; empty if none is queued.
  std::optional<T> popFlow() { return mFlows.pop(); }

  /// @brief Removes and returns the new flows that were enqueued before aTime.
  std::vector<T> removeFlowsOlderThan(base::Time aTime) { return mFlows.removeOlderThan(aTime); }

  /// @brief Removes and returns the requests that were enqueued before aTime.
  std::vector<T> removeRequestsOlderThan(base::Time aTime)
  {
    return mRequests.removeOlderThan(aTime);
  }

  /// @brief Number of queued new flows.
  std::size_t queuedFlows() const { return mFlows.size(); }

  /// @brief Number of queued requests.
  std::size_t queuedRequests() const { return mRequests.size(); }

  /// @brief True if no new flow and no request is queued.
  bool empty() const { return queuedFlows() + queuedRequests() == 0; }

private:
  FairQueue<T> mFlows;
  FairQueue<T> mRequests;
};

} // namespace cornelcross::admission
