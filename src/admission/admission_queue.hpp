#pragma once

#include "admission/fair_queue.hpp"

namespace cornelcross::admission {

/// @brief New flows and requests that wait until an upstream has room. Requests of flows that the
/// upstream has already go first: the flow was promised service when it was admitted.
/// @tparam T what waits
template<class T>
class AdmissionQueue
{
public:
  /// @param aMaxFlows    new flows that wait at most
  /// @param aMaxRequests requests that wait at most
  AdmissionQueue(std::size_t aMaxFlows, std::size_t aMaxRequests)
    : mFlows(aMaxFlows), mRequests(aMaxRequests)
  {
  }

  /// @brief Adds a new flow. @return the one that had to give way
  std::optional<T> pushFlow(base::Time aNow, std::size_t aWorkspace, T aItem)
  {
    return mFlows.push(aNow, aWorkspace, std::move(aItem));
  }

  /// @brief Adds a request. @return the one that had to give way
  std::optional<T> pushRequest(base::Time aNow, std::size_t aWorkspace, T aItem)
  {
    return mRequests.push(aNow, aWorkspace, std::move(aItem));
  }

  /// @brief Next request, if one waits.
  std::optional<T> popRequest() { return mRequests.pop(); }

  /// @brief Next new flow, if one waits.
  std::optional<T> popFlow() { return mFlows.pop(); }

  /// @brief Takes the new flows that were added before aTime.
  std::vector<T> removeFlowsOlderThan(base::Time aTime) { return mFlows.removeOlderThan(aTime); }

  /// @brief Takes the requests that were added before aTime.
  std::vector<T> removeRequestsOlderThan(base::Time aTime)
  {
    return mRequests.removeOlderThan(aTime);
  }

  /// @brief New flows that wait.
  std::size_t flows() const { return mFlows.size(); }

  /// @brief Requests that wait.
  std::size_t requests() const { return mRequests.size(); }

  /// @brief True if nothing waits.
  bool empty() const { return flows() + requests() == 0; }

private:
  FairQueue<T> mFlows;
  FairQueue<T> mRequests;
};

} // namespace cornelcross::admission
