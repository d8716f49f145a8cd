#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::wire {

/// @brief Units per request of LoadReport::mMeanLoad.
inline constexpr std::uint32_t kLoadUnitsPerRequest = 1000;

/// @brief Load of one upstream, which its agent reports to the other agents of the service.
struct LoadReport
{
  std::uint64_t mUpstream = 0;       ///< config::Upstream::mIdentity of the upstream
  std::uint32_t mActiveRequests = 0; ///< flows with a request in progress
  std::uint32_t mLimit = 0;          ///< current limit on concurrent requests
  std::uint32_t mFlows = 0;          ///< number of open flows
  std::uint32_t mMeanLoad = 0;       ///< recent mean of active requests, in 1/kLoadUnitsPerRequest
  std::uint32_t mMeanLatencyUs = 0;  ///< recent mean latency of requests; 0 if unknown

  auto operator<=>(const LoadReport&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mUpstream, mActiveRequests, mLimit, mFlows, mMeanLoad, mMeanLatencyUs);
  }
};

} // namespace cornelcross::wire
