#pragma once

#include "base/time.hpp"
#include "flow/connection_outcome.hpp"
#include "flow/endpoint.hpp"

#include <optional>
#include <string_view>

namespace cornelcross::agent {

/// @brief What an agent has observed of the process of its upstream. Decides whether the agent's
/// records list every flow that the upstream owns.
///
/// Deterministic: the caller passes the current time to each call.
class OwnershipEvidence
{
public:
  /// @param aFlowLifetime    longest time that a flow lasts
  /// @param aFixedEndpoint   endpoint of the upstream if the settings state it
  /// @param aTriesConnection the upstream accepts TCP connections at its endpoint
  OwnershipEvidence(base::Duration aFlowLifetime,
                    std::optional<flow::Endpoint> aFixedEndpoint,
                    bool aTriesConnection);

  /// @brief Applies the upstream that the configuration assigns to the agent; empty if none.
  /// @param aServiceHash hash of the name of the upstream's service
  void assign(base::Time aNow, std::optional<flow::Endpoint> aEndpoint, std::uint64_t aServiceHash);

  /// @brief Drops all observations, because records of flows were dropped.
  void restart(base::Time aNow);

  /// @brief Endpoint to which a connection is to be tried now; empty if no attempt is due.
  /// @param aIsNeeded another agent asks about a flow without a record
  std::optional<flow::Endpoint> nextAttempt(base::Time aNow, bool aIsNeeded);

  /// @brief Records the outcome of an attempt to connect to aEndpoint.
  void onAttempt(flow::Endpoint aEndpoint, flow::ConnectionOutcome aOutcome);

  /// @brief True if the endpoint of the upstream has refused a connection since this process
  /// started: an upstream that runs now started later.
  bool hasSeenRefusal() const { return mHasSeenRefusal; }

  /// @brief True if every flow that the upstream owns has a record.
  bool areRecordsComplete(base::Time aNow) const;

  /// @brief Name of the evidence by which the records are complete, "none" if they are not.
  std::string_view describe(base::Time aNow) const;

private:
  base::Duration mFlowLifetime;
  std::optional<flow::Endpoint> mFixedEndpoint;
  bool mTriesConnection;
  std::optional<flow::Endpoint> mEndpoint;
  std::uint64_t mServiceHash = 0;
  std::optional<base::Time> mObservedSince; ///< first assignment of the current upstream
  std::optional<base::Time> mLastAttemptAt;
  bool mHasOutcome = false; ///< an attempt was accepted or refused
  bool mHasSeenRefusal = false;
};

} // namespace cornelcross::agent
