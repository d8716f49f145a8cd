#pragma once

#include "telemetry/event.hpp"
#include "wire/heartbeat.hpp"
#include "wire/pull.hpp"

#include <variant>

namespace cornelcross::membership {

/// @brief Send a heartbeat.
struct SendHeartbeat
{
  flow::Endpoint mTo;
  wire::Heartbeat mHeartbeat;

  auto operator<=>(const SendHeartbeat&) const = default;
};

/// @brief Pull documents from a peer over TCP. One pull is in progress at a time.
struct StartPull
{
  flow::Endpoint mPeer;
  wire::PullRequest mRequest;

  auto operator<=>(const StartPull&) const = default;
};

/// @brief Read the configuration service; a read in progress is given up.
struct ReadService
{
  std::uint64_t mAfterRevision = 0; ///< revision up to which everything is known
  unsigned mWaitSeconds = 0;        ///< how long the service may hold the call for a change

  auto operator<=>(const ReadService&) const = default;
};

/// @brief One step that the shell carries out.
using Action = std::variant<SendHeartbeat, StartPull, ReadService, telemetry::Event>;

/// @brief Steps in their order.
using Actions = std::vector<Action>;

} // namespace cornelcross::membership
