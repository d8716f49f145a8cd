#pragma once

#include <cstdint>

namespace cornelcross::wire {

/// @brief Why an agent is handed a packet.
enum class OwnershipQuery : std::uint8_t
{
  kNone,      ///< it is the next candidate
  kTentative, ///< no agent has a record; its upstream may still own the flow
  kDecisive,  ///< likewise, and everyone else has denied the flow, so that its upstream's RST is
              ///< true
};

} // namespace cornelcross::wire
