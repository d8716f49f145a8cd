#pragma once

#include "admission/concurrency_limit.hpp"

namespace cornelcross::admission {

/// @brief Settings of an agent's admission control.
struct AdmissionSettings
{
  std::uint32_t mMaxFlows = 2000; ///< maximum number of open connections of the upstream
  ConcurrencyLimitSettings mConcurrencyLimit = {};

  /// Maximum time that a new flow is queued if the class of its requests is unknown.
  base::Duration mMaxQueueTime = std::chrono::milliseconds(750);

  /// Maximum time that a new flow is queued if the class of its requests is known. Callers on the
  /// platform retransmit a SYN after 200 ms.
  base::Duration mMaxOpeningWait = std::chrono::milliseconds(150);

  /// True if requests of established flows are queued when the upstream is at its limit.
  bool mQueuesRequests = true;

  /// Requests that the upstream itself may queue for each of its slots.
  std::uint32_t mUpstreamQueuePerSlot = 0;

  /// True if the upstream's share of new flows depends on its response time in relation to the
  /// other upstreams of its service.
  bool mBalancesBySpeed = false;

  /// Maximum number of queued new flows, and of queued requests.
  std::size_t mMaxQueued = 256;

  auto operator<=>(const AdmissionSettings&) const = default;
};

} // namespace cornelcross::admission
