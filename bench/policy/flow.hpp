#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace cornelcross::bench {

/// @brief One caller's flow.
struct Flow
{
  std::uint64_t mHash = 0;
  std::vector<std::size_t> mRanks; ///< indices of upstreams, best rank first
  std::size_t mKind = 0;
  std::size_t mWorkspace = 0;
  std::uint32_t mRequestsLeft = 1;
  std::uint32_t mAttempt = 0;
  std::size_t mUpstream = 0;
  std::uint32_t mIncarnation = 0; ///< of the upstream when the flow was admitted
  bool mIsExpected = false;       ///< admitted, first request not seen
  bool mIsBusy = false;
  base::Time mOpened;      ///< the caller's first SYN of this attempt
  base::Time mAdmitted;    ///< by an agent
  base::Time mRequestSent; ///< by the caller
  base::Time mStarted;     ///< the request reached the upstream
};

using FlowPtr = std::shared_ptr<Flow>;

} // namespace cornelcross::bench
