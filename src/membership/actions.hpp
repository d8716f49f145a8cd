#pragma once

#include "telemetry/event.hpp"
#include "wire/heartbeat.hpp"
#include "wire/pull.hpp"

#include <variant>

namespace cornelcross::membership {

/// @brief Sends a heartbeat.
struct SendHeartbeat
{
  flow::Endpoint mTo;
  wire::Heartbeat mHeartbeat;

  auto operator<=>(const SendHeartbeat&) const = default;
};

/// @brief Pulls documents from a peer over TCP. At most one pull is in progress at a time.
struct StartPull
{
  flow::Endpoint mPeer;
  wire::PullRequest mRequest;

  auto operator<=>(const StartPull&) const = default;
};

/// @brief Reads the configuration service; cancels a read in progress.
struct ReadService
{
  /// Revision up to which this process has all documents.
  std::uint64_t mAfterRevision = 0;

  /// Maximum time for which the service may delay its response until a document changes.
  unsigned mWaitSeconds = 0;

  /// Only the changes since the last read are of interest.
  bool mIsCheck = false;

  auto operator<=>(const ReadService&) const = default;
};

/// @brief One action for the Runtime to perform.
using Action = std::variant<SendHeartbeat, StartPull, ReadService, telemetry::Event>;

/// @brief Actions in the order in which the Runtime performs them.
using Actions = std::vector<Action>;

} // namespace cornelcross::membership
