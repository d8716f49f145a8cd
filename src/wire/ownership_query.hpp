#pragma once

#include <cstdint>

namespace cornelcross::wire {

/// @brief Reason for which an agent receives a packet.
enum class OwnershipQuery : std::uint8_t
{
  /// The agent is the next candidate.
  kNone,

  /// No agent has a record of the flow, but the upstream of the receiver may own the flow.
  kTentative,

  /// As kTentative, and all other agents have denied the flow, so that a RST of the upstream is
  /// valid for the caller.
  kDecisive,
};

} // namespace cornelcross::wire
