#pragma once

#include "wire/message.hpp"

#include <optional>
#include <string_view>

namespace cornelcross::membership {

/// @brief Kinds of control traffic, the most important first.
enum class ControlKind
{
  kConfirmation, ///< questions and answers that let a process forward
  kPull,         ///< documents between peers
  kServiceRead,  ///< reads of the configuration service
  kHeartbeat,    ///< revisions between peers
  kProbe,        ///< liveness of single agents
  kLoadReport,   ///< load between the agents of a service
  kOwnerUpdate,  ///< hints for the caches of balancers
};

/// @brief Number of kinds.
inline constexpr std::size_t kControlKinds = 7;

/// @brief Name of the kind in metrics.
std::string_view toString(ControlKind aKind);

/// @brief Kind of a message; empty for callers' packets, which are no control traffic.
std::optional<ControlKind> controlKindOf(const wire::Message& aMessage);

} // namespace cornelcross::membership
