#pragma once

#include "bench/policy/flow.hpp"
#include "bench/policy/random.hpp"
#include "bench/policy/upstream_queue.hpp"

namespace cornelcross::bench {

/// @brief What a policy sees of the service and does with its flows.
struct Service
{
  EventQueue mEvents;
  Random mRandom{ 1 };
  std::vector<UpstreamQueue> mUpstreams;
  std::vector<bool> mIsEligible;
  std::uint32_t mSlots = 1;

  /// A flow reaches the upstream.
  std::function<void(const FlowPtr&, std::size_t)> mAdmit;
  /// A flow is refused.
  std::function<void(const FlowPtr&)> mRefuse;
  /// A request reaches the upstream.
  std::function<void(const FlowPtr&)> mStart;
};

} // namespace cornelcross::bench
