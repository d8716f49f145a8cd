#pragma once

#include "admission/admission_settings.hpp"
#include "agent/keep_alive_settings.hpp"
#include "base/time.hpp"
#include "flow/endpoint.hpp"

namespace cornelcross::agent {

/// @brief Settings of an agent's decisions.
struct AgentSettings
{
  flow::Endpoint mSelf;                  ///< this agent, as the configuration lists it
  std::uint16_t mMaxSegmentBytes = 1380; ///< bytes; upper bound for the MSS option
  admission::AdmissionSettings mAdmission = {};
  /// For so long after its start an agent's records may lack flows of its upstream.
  base::Duration mRecoveryWindow = std::chrono::hours(12);
  std::uint64_t mStartedAtMs = 0; ///< wall clock of this process's start; 0 if not known
  KeepAliveSettings mKeepAlive = {};
  base::Duration mHalfOpenTimeout = std::chrono::seconds(30);
  base::Duration mClosingTimeout = std::chrono::seconds(60);
  base::Duration mIdleTimeout = std::chrono::hours(12);

  auto operator<=>(const AgentSettings&) const = default;
};

} // namespace cornelcross::agent
