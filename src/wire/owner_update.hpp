#pragma once

#include "flow/flow_key.hpp"

namespace cornelcross::wire {

/// @brief Tells a balancer which agent owns a flow, so that it asks this one first.
struct OwnerUpdate
{
  flow::FlowKey mFlow;
  flow::Endpoint mOwner;

  auto operator<=>(const OwnerUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFlow.mCaller, mFlow.mService, mOwner);
  }
};

} // namespace cornelcross::wire
