#pragma once

#include "wire/message.hpp"

#include <optional>
#include <string_view>

namespace cornelcross::membership {

/// @brief Kinds of control traffic in order of decreasing priority.
enum class ControlKind
{
  kConfirmation, ///< queries and replies by which a process confirms its revision
  kPull,         ///< transfer of documents between peers
  kServiceRead,  ///< reads of the configuration service
  kHeartbeat,    ///< heartbeats that announce a revision to a peer
  kProbe,        ///< liveness probes of agents, and the replies
  kOwnerLookup,  ///< lookups of the owners of flows, and the replies
  kLoadReport,   ///< exchange of load between the agents of a service
  kOwnerUpdate,  ///< owners of flows, as hints for the owner caches of balancers
};

/// @brief Number of enumerators of ControlKind.
inline constexpr std::size_t kControlKinds = 8;

/// @brief Name of the kind in metric labels.
std::string_view toString(ControlKind aKind);

/// @brief Kind of a message; empty for forwarded packets of callers, which are not control traffic.
std::optional<ControlKind> controlKindOf(const wire::Message& aMessage);

} // namespace cornelcross::membership
