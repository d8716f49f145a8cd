#include "agent/agent_metrics.hpp"

#include "wire/decode_errors.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace cornelcross::agent {

namespace {

constexpr std::array kDropReasons = {
  DropReason::kMalformed, DropReason::kNotConfigured, DropReason::kForeignService,
  DropReason::kZoneOut,   DropReason::kNoOwner,       DropReason::kNotOwned,
  DropReason::kNoRecord,
};

using Reader = double (*)(const Decisions&);

struct AgentGauge
{
  const char* mName;
  const char* mHelp;
  Reader mRead;
};

constexpr std::array kGauges = {
  AgentGauge{
    "cornelcross_flows",
    "Flows whose record the agent holds",
    [](const Decisions& aDecisions) { return static_cast<double>(aDecisions.flows().size()); } },
  AgentGauge{ "cornelcross_flows_busy",
              "Flows with a request in progress",
              [](const Decisions& aDecisions) {
                return static_cast<double>(aDecisions.admission().busy());
              } },
  AgentGauge{ "cornelcross_flows_busy_limit",
              "Requests that may be in progress before new flows are passed on",
              [](const Decisions& aDecisions) {
                return static_cast<double>(aDecisions.admission().limit());
              } },
  AgentGauge{ "cornelcross_upstream_slots",
              "Slots that the configuration declares for the upstream, 0 if it is not listed",
              [](const Decisions& aDecisions) {
                const auto& upstream = aDecisions.upstream();
                return upstream ? static_cast<double>(upstream->mSlots) : 0.0;
              } },
  AgentGauge{ "cornelcross_upstream_eligible",
              "1 if the upstream may be given new flows, else 0",
              [](const Decisions& aDecisions) { return aDecisions.mayOpen() ? 1.0 : 0.0; } },
  AgentGauge{ "cornelcross_suspected_agents",
              "Other agents that leave probes unanswered",
              [](const Decisions& aDecisions) {
                return static_cast<double>(aDecisions.peers().suspects());
              } },
};

} // namespace

AgentMetrics::AgentMetrics(telemetry::Metrics& aMetrics, const Decisions& aDecisions)
  : mDrops(aMetrics)
  , mOpened(aMetrics.counter("cornelcross_flows_opened_total", "Flows admitted"))
  , mClosed(aMetrics.counter("cornelcross_flows_closed_total", "Flows that ended"))
  , mRefused(aMetrics.counter("cornelcross_flows_refused_total",
                              "New flows refused with a reset; none of their requests ran"))
  , mAdopted(aMetrics.counter("cornelcross_flows_adopted_total",
                              "Flows whose record was made from what the upstream sent"))
{
  for (const DropReason reason : kDropReasons) {
    mDrops.expect(toString(reason));
  }
  mDrops.expect("unknown_sender");
  mDrops.expect("unconfirmed");
  for (const wire::DecodeError error : wire::kDecodeErrors) {
    mDrops.expect(wire::toString(error));
  }
  for (const AgentGauge& item : kGauges) {
    auto& gauge = aMetrics.gauge(item.mName, item.mHelp);
    aMetrics.onExpose([&gauge, &aDecisions, read = item.mRead] { gauge.Set(read(aDecisions)); });
  }
}

void AgentMetrics::note(const telemetry::Event& aEvent)
{
  switch (aEvent.mKind) {
    case telemetry::EventKind::kFlowOpened:
      mOpened.Increment();
      break;
    case telemetry::EventKind::kFlowClosed:
      mClosed.Increment();
      break;
    case telemetry::EventKind::kFlowRefused:
      mRefused.Increment();
      break;
    case telemetry::EventKind::kFlowAdopted:
      mAdopted.Increment();
      break;
    default:
      break;
  }
}

} // namespace cornelcross::agent
