#pragma once

#include "bench/policy/flow.hpp"
#include "bench/policy/upstream_queue.hpp"

#include <random>

namespace cornelcross::bench {

/// @brief What a policy sees of the service and does with its flows.
struct Service
{
  EventQueue mEvents;
  std::mt19937_64 mRandom;
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
