#pragma once

#include "wire/forward.hpp"
#include "wire/heartbeat.hpp"
#include "wire/load_report.hpp"
#include "wire/owner_update.hpp"
#include "wire/probe.hpp"

#include <variant>

namespace cornelcross::wire {

/// @brief Every message that travels in a datagram. The index is the message's kind on the wire,
/// so that new ones go at the end.
using Message = std::variant<Forward, OwnerUpdate, LoadReport, Probe, ProbeReply, Heartbeat>;

/// @brief One datagram between two processes of the system.
struct Frame
{
  std::uint64_t mRevision = 0; ///< configuration revision that the sender has in force
  Message mMessage;

  auto operator<=>(const Frame&) const = default;
};

} // namespace cornelcross::wire
