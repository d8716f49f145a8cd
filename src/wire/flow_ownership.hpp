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
};

} // namespace cornelcross::wire
