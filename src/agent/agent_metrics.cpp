#include "agent/agent_metrics.hpp"

#include "net/main_loop.hpp"
#include "wire/decode_errors.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace cornelcross::agent {

namespace {

constexpr const char* kReadsName = "cornelcross_upstream_record_reads_total";
constexpr const char* kReadsHelp =
  "Reads of the record of an upstream that counts as ended, by result";

using GaugeReader = double (*)(const FlowManager&);

struct AgentGauge
{
  const char* mName;
  const char* mHelp;
  GaugeReader mRead;
};

constexpr std::array kGauges = {
  AgentGauge{ "cornelcross_flows",
              "Flows whose record the agent holds",
              [](const FlowManager& aFlowManager) {
                return static_cast<double>(aFlowManager.flows().size());
              } },
  AgentGauge{ "cornelcross_flows_busy",
              "Flows with a request in progress",
              [](const FlowManager& aFlowManager) {
                return static_cast<double>(aFlowManager.admission().activeRequests());
              } },
  AgentGauge{ "cornelcross_flows_busy_limit",
              "Requests that may be in progress before new flows are passed on",
              [](const FlowManager& aFlowManager) {
                return static_cast<double>(aFlowManager.admission().requestLimit());
              } },
  AgentGauge{ "cornelcross_flows_held",
              "New flows that wait for room",
              [](const FlowManager& aFlowManager) {
                return static_cast<double>(aFlowManager.admissionQueue().queuedFlows());
              } },
  AgentGauge{ "cornelcross_requests_held",
              "Requests of established flows that wait for room",
              [](const FlowManager& aFlowManager) {
                return static_cast<double>(aFlowManager.admissionQueue().queuedRequests());
              } },
  AgentGauge{
    "cornelcross_upstream_cold",
    "1 during a cold start of the upstream, else 0",
    [](const FlowManager& aFlowManager) { return aFlowManager.admission().isCold() ? 1.0 : 0.0; } },
  AgentGauge{ "cornelcross_upstream_relative_speed",
              "Speed of the upstream in relation to its service, from 0.25 to 1",
              [](const FlowManager& aFlowManager) {
                return aFlowManager.admission().relativeSpeed(net::MainLoop::now());
              } },
  AgentGauge{ "cornelcross_upstream_slots",
              "Slots that the configuration declares for the upstream, 0 if it is not listed",
              [](const FlowManager& aFlowManager) {
                const auto& upstream = aFlowManager.upstream();
                return upstream ? static_cast<double>(upstream->mSlots) : 0.0;
              } },
  AgentGauge{
    "cornelcross_upstream_eligible",
    "1 if the upstream may be given new flows, else 0",
    [](const FlowManager& aFlowManager) { return aFlowManager.acceptsNewFlows() ? 1.0 : 0.0; } },
  AgentGauge{ "cornelcross_owner_lookups",
              "Flows whose owner the agent looks up",
              [](const FlowManager& aFlowManager) {
                return static_cast<double>(aFlowManager.ownerLookupCount());
              } },
  AgentGauge{ "cornelcross_suspected_agents",
              "Other agents that leave probes unanswered",
              [](const FlowManager& aFlowManager) {
                return static_cast<double>(aFlowManager.failureDetector().suspectCount());
              } },
};

/// Upper bounds of the buckets for agents that a new flow visits. A page of the candidate list has
/// 15 agents.
const std::vector<double> kVisitedAgentsBuckets{ 1, 2, 3, 4, 6, 8, 12, 15, 30, 60, 128 };

double seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

void registerHistograms(telemetry::Metrics& aMetrics, FlowManager& aFlowManager)
{
  auto& accepted = aMetrics.histogram("cornelcross_flow_accept_seconds",
                                      "From a flow's admission until its upstream accepted it",
                                      telemetry::latencyBuckets());
  auto& answered = aMetrics.histogram("cornelcross_request_answer_seconds",
                                      "From a request's payload until the first of its answer",
                                      telemetry::latencyBuckets());
  auto& visits = aMetrics.histogram("cornelcross_flow_agents_visited",
                                    "Agents that a new flow visited until it was admitted or "
                                    "refused here",
                                    kVisitedAgentsBuckets);
  aFlowManager.setMeasurementCallbacks(
    { [&accepted](base::Duration aTime) { accepted.Observe(seconds(aTime)); },
      [&answered](base::Duration aTime) { answered.Observe(seconds(aTime)); },
      [&visits](std::uint8_t aCount) { visits.Observe(aCount); } });
}

} // namespace

AgentMetrics::AgentMetrics(telemetry::Metrics& aMetrics, FlowManager& aFlowManager)
  : mDrops(aMetrics)
  , mOpened(aMetrics.counter("cornelcross_flows_opened_total", "Flows admitted"))
  , mClosed(aMetrics.counter("cornelcross_flows_closed_total", "Flows that ended"))
  , mRefused(aMetrics.counter("cornelcross_flows_refused_total",
                              "New flows refused with a reset; none of their requests ran"))
  , mAdopted(aMetrics.counter("cornelcross_flows_adopted_total",
                              "Flows whose record was made from what the upstream sent"))
  , mAnsweredReads(aMetrics.counter(kReadsName, kReadsHelp, { { "result", "answered" } }))
  , mFailedReads(aMetrics.counter(kReadsName, kReadsHelp, { { "result", "failed" } }))
{
  registerHistograms(aMetrics, aFlowManager);
  for (const DropReason reason : kDropReasons) {
    mDrops.registerReason(toString(reason));
  }
  mDrops.registerReason("unknown_sender");
  mDrops.registerReason("unconfirmed");
  for (const wire::DecodeError error : wire::kDecodeErrors) {
    mDrops.registerReason(wire::toString(error));
  }
  for (const AgentGauge& item : kGauges) {
    auto& gauge = aMetrics.gauge(item.mName, item.mHelp);
    aMetrics.onExpose(
      [&gauge, &aFlowManager, read = item.mRead] { gauge.Set(read(aFlowManager)); });
  }
}

void AgentMetrics::recordRecordRead(bool aIsAnswered)
{
  (aIsAnswered ? mAnsweredReads : mFailedReads).Increment();
}

void AgentMetrics::recordEvent(const telemetry::Event& aEvent)
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
