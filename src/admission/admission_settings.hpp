#pragma once

#include "admission/concurrency_limit.hpp"

namespace cornelcross::admission {

/// @brief Settings of an agent's admission.
struct AdmissionSettings
{
  std::uint32_t mMaxFlows = 2000; ///< connections that the upstream holds at most
  ConcurrencyLimitSettings mLimit = {};
  base::Duration mMaxQueueTime =
    std::chrono::milliseconds(750); ///< a new flow waits at most so long
  bool mQueuesRequests = true;      ///< requests of established flows wait for room
  std::uint32_t mUpstreamQueuePerSlot =
    0;                          ///< requests that the upstream may queue for each of its slots
  std::size_t mMaxQueued = 256; ///< new flows that wait at most

  auto operator<=>(const AdmissionSettings&) const = default;
};

} // namespace cornelcross::admission
