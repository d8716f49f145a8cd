#pragma once

#include "agent/actions.hpp"
#include "agent/flow_record.hpp"
#include "agent/keep_alive_settings.hpp"

namespace cornelcross::agent {

/// @brief Probes both ends of flows that are silent, and ends those whose other end is gone.
///
/// Something between caller and agent may lose track of a connection, most likely one that is idle.
/// A probe now and then keeps it known there; where that fails, both ends learn that the connection
/// is gone and may open another one.
class KeepAliveProber
{
public:
  explicit KeepAliveProber(const KeepAliveSettings& aSettings) : mSettings(aSettings) {}

  /// @brief A round over all flows begins; each has its own bound on probes.
  void startRound() { mProbesLeft = mSettings.mMaxProbesPerTick; }

  /// @brief Adds the probes or resets that an established flow needs now to aActions.
  /// @return true if the flow is given up
  bool probeFlow(base::Time aNow,
                 const flow::FlowKey& aFlow,
                 flow::Endpoint aUpstream,
                 FlowRecord& aRecord,
                 Actions& aActions);

private:
  bool hasTimedOut(base::Duration aSilence, std::uint32_t aProbes) const;

  KeepAliveSettings mSettings;
  std::uint32_t mProbesLeft = 0;
};

} // namespace cornelcross::agent
