#include "agent/agent_status.hpp"

namespace cornelcross::agent {

namespace {

nlohmann::json describeUpstream(const Decisions& aDecisions)
{
  const auto& upstream = aDecisions.upstream();
  if (!upstream) {
    return nullptr;
  }
  return { { "name", upstream->mName },
           { "zone", upstream->mZone },
           { "state", std::string(toString(upstream->mState)) },
           { "address", upstream->mAddress.toString() },
           { "slots", upstream->mSlots },
           { "eligible", aDecisions.mayOpen() },
           { "receives", aDecisions.mayReceive() } };
}

nlohmann::json describeRefusals(const telemetry::RecentEvents& aRefusals)
{
  nlohmann::json refusals = nlohmann::json::array();
  for (const auto& entry : aRefusals.entries()) {
    nlohmann::json refusal = { { "time_us", entry.mMicroseconds } };
    for (const auto& [name, value] : entry.mEvent.mFields) {
      refusal[name] = value;
    }
    refusals.push_back(std::move(refusal));
  }
  return refusals;
}

} // namespace

nlohmann::json makeStatus(const std::string& aName,
                          const Decisions& aDecisions,
                          const telemetry::RecentEvents& aRefusals)
{
  const auto& admission = aDecisions.admission();
  return { { "name", aName },
           { "role", "agent" },
           { "revision", aDecisions.revision() },
           { "upstream", describeUpstream(aDecisions) },
           { "flows", aDecisions.flows().size() },
           { "busy", admission.busy() },
           { "limit", admission.limit() },
           { "cold", admission.isCold() },
           { "held_flows", aDecisions.pending().flows() },
           { "held_requests", aDecisions.pending().requests() },
           { "suspected_agents", aDecisions.peers().suspects() },
           { "last_refusals", describeRefusals(aRefusals) } };
}

} // namespace cornelcross::agent
