#pragma once

#include "flow/flow_key.hpp"

namespace cornelcross::wire {

/// @brief Notifies a balancer of the agent that owns a flow. The balancer then forwards packets of
/// the flow to this agent first.
struct OwnerUpdate
{
  flow::FlowKey mFlow;
  flow::Endpoint mOwner;

  auto operator<=>(const OwnerUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFlow, mOwner);
  }
};

} // namespace cornelcross::wire
