#include "agent/agent_status.hpp"

namespace cornelcross::agent {

namespace {

nlohmann::json describeUpstream(const FlowManager& aFlowManager)
{
  const auto& upstream = aFlowManager.upstream();
  if (!upstream) {
    return nullptr;
  }
  return { { "name", upstream->mName },
           { "zone", upstream->mZone },
           { "state", std::string(toString(upstream->mState)) },
           { "address", upstream->mAddress.toString() },
           { "slots", upstream->mSlots },
           { "eligible", aFlowManager.acceptsNewFlows() },
           { "receives", aFlowManager.acceptsPackets() } };
}

nlohmann::json describeRefusals(const telemetry::RecentEvents& aRefusals)
{
  nlohmann::json refusals = nlohmann::json::array();
  for (const auto& entry : aRefusals.entries()) {
    nlohmann::json refusal = { { "time_us", entry.mTimeUs } };
    for (const auto& [name, value] : entry.mEvent.mFields) {
      refusal[name] = value;
    }
    refusals.push_back(std::move(refusal));
  }
  return refusals;
}

} // namespace

nlohmann::json makeStatus(const std::string& aName,
                          const FlowManager& aFlowManager,
                          const telemetry::RecentEvents& aRefusals)
{
  const auto& admission = aFlowManager.admission();
  return { { "name", aName },
           { "role", "agent" },
           { "revision", aFlowManager.revision() },
           { "upstream", describeUpstream(aFlowManager) },
           { "flows", aFlowManager.flows().size() },
           { "busy", admission.activeRequests() },
           { "limit", admission.requestLimit() },
           { "cold", admission.isCold() },
           { "held_flows", aFlowManager.admissionQueue().queuedFlows() },
           { "held_requests", aFlowManager.admissionQueue().queuedRequests() },
           { "suspected_agents", aFlowManager.failureDetector().suspectCount() },
           { "last_refusals", describeRefusals(aRefusals) } };
}

} // namespace cornelcross::agent
