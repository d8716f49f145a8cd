#pragma once

#include "agent/actions.hpp"
#include "agent/flow_record.hpp"
#include "agent/keep_alive_settings.hpp"

namespace cornelcross::agent {

/// @brief Probes both ends of silent flows and resets flows of which an end does not reply.
///
/// A middlebox between caller and agent may drop the state of a connection, most likely of an idle
/// connection. Regular probes refresh the state. If the state is lost nevertheless, the reset
/// allows both ends to detect the loss and to open another connection.
class KeepAliveProber
{
public:
  explicit KeepAliveProber(const KeepAliveSettings& aSettings) : mSettings(aSettings) {}

  /// @brief Starts a round over all flows. Each round has its own bound on probed flows.
  void startRound() { mFlowsLeft = mSettings.mMaxProbedFlowsPerRound; }

  /// @brief Appends the probes or resets that are due for an established flow to aActions.
  /// @return true if an end does not reply, so that both ends were reset
  bool probeFlow(base::Time aNow,
                 const flow::FlowKey& aFlow,
                 flow::Endpoint aUpstream,
                 FlowRecord& aRecord,
                 Actions& aActions);

private:
  bool hasTimedOut(base::Duration aSilence, std::uint32_t aProbes) const;

  KeepAliveSettings mSettings;
  std::uint32_t mFlowsLeft = 0;
};

} // namespace cornelcross::agent
