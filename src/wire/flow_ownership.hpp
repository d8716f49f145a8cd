#pragma once

#include <cstdint>

namespace cornelcross::wire {

/// @brief What an agent can say about a flow.
enum class FlowOwnership : std::uint8_t
{
  kDenied, ///< the upstream does not have the flow
  kOwned,  ///< the agent has a record of the established flow

  /// The agent has no record, but cannot rule out that its upstream has the flow. A packet of the
  /// flow, delivered to the upstream, settles the question.
  kUnknown,

  /// As kUnknown, but the agent may not deliver a packet of the flow: the zone drains or is out of
  /// service or the service is not assigned here, as far as this process knows.
  kUndeliverable,
};

} // namespace cornelcross::wire
