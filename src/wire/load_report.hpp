#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::wire {

/// @brief Parts of one request in which a mean load is told.
inline constexpr std::uint32_t kLoadUnitsPerRequest = 1000;

/// @brief Load of one upstream, told by its agent to the other agents of the service.
struct LoadReport
{
  std::uint64_t mUpstream = 0;       ///< identity of the upstream
  std::uint32_t mActiveRequests = 0; ///< flows with a request in progress
  std::uint32_t mLimit = 0;          ///< requests that the agent admits at once now
  std::uint32_t mFlows = 0;          ///< open flows
  std::uint32_t mMeanLoad =
    0; ///< mean of the requests in progress lately, in 1/kLoadUnitsPerRequest
  std::uint32_t mMeanLatencyUs = 0; ///< microseconds; mean of the answer times lately; 0 if unknown

  auto operator<=>(const LoadReport&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mUpstream, mActiveRequests, mLimit, mFlows, mMeanLoad, mMeanLatencyUs);
  }
};

} // namespace cornelcross::wire
