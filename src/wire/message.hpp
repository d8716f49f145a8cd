#pragma once

#include "wire/forward.hpp"
#include "wire/heartbeat.hpp"
#include "wire/load_report.hpp"
#include "wire/owner_lookup.hpp"
#include "wire/owner_lookup_reply.hpp"
#include "wire/owner_update.hpp"
#include "wire/probe.hpp"

#include <variant>

namespace cornelcross::wire {

/// @brief Any message that is sent in a datagram. The index of the alternative is the kind of the
/// message on the wire, so that new alternatives are appended at the end.
using Message = std::variant<Forward,
                             OwnerUpdate,
                             LoadReport,
                             Probe,
                             ProbeReply,
                             Heartbeat,
                             OwnerLookup,
                             OwnerLookupReply>;

/// @brief Content of one datagram between two processes of the system.
struct Frame
{
  std::uint64_t mRevision = 0; ///< active configuration revision of the sender
  Message mMessage;

  auto operator<=>(const Frame&) const = default;
};

} // namespace cornelcross::wire
