#pragma once

#include "admission/admission_settings.hpp"
#include "agent/keep_alive_settings.hpp"
#include "agent/upstream_watch.hpp"
#include "base/time.hpp"
#include "flow/endpoint.hpp"

#include <optional>
#include <string>

namespace cornelcross::agent {

/// @brief Settings of FlowManager.
struct AgentSettings
{
  flow::Endpoint mSelf;      ///< address of this agent in the configuration
  std::string mService = {}; ///< service of the upstream beside this agent; may be empty
  /// Endpoint of the upstream beside this agent; empty if unknown.
  std::optional<flow::Endpoint> mUpstreamAddress = {};
  bool mUpstreamAcceptsTcp = false; ///< a running upstream accepts TCP connections at its endpoint
  UpstreamWatchSettings mUpstreamWatch = {}; ///< requires mUpstreamAcceptsTcp
  std::uint16_t mMaxSegmentBytes = 1380;     ///< upper bound for the MSS option
  admission::AdmissionSettings mAdmission = {};
  /// Time after its start in which an agent's records may lack flows of its upstream.
  base::Duration mRecoveryWindow = std::chrono::hours(12);
  /// Start of this process in wall-clock time, which distinguishes it from earlier processes of the
  /// same agent; 0 if unknown. Never compared with another time.
  std::uint64_t mStartedAtMs = 0;
  KeepAliveSettings mKeepAlive = {};
  // Idle times before a flow record expires, by the state of the flow.
  base::Duration mHalfOpenTimeout = std::chrono::seconds(30);
  base::Duration mClosingTimeout = std::chrono::seconds(60);
  base::Duration mIdleTimeout = std::chrono::hours(12); ///< for established flows

  /// @brief Settings of the watch; disabled if the upstream cannot be connected to.
  UpstreamWatchSettings upstreamWatch() const
  {
    return mUpstreamAddress && mUpstreamAcceptsTcp ? mUpstreamWatch : UpstreamWatchSettings{};
  }

  auto operator<=>(const AgentSettings&) const = default;
};

} // namespace cornelcross::agent
