#include "balancer/balancer_metrics.hpp"

#include "wire/decode_errors.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace cornelcross::balancer {

namespace {

} // namespace

BalancerMetrics::BalancerMetrics(telemetry::Metrics& aMetrics,
                                 const PacketRouter& aRouter,
                                 const PacketPath& aPath)
  : mDrops(aMetrics)
{
  for (const DropReason reason : kDropReasons) {
    mDrops.registerReason(toString(reason));
  }
  mDrops.registerReason("unconfirmed");
  for (const wire::DecodeError error : wire::kDecodeErrors) {
    mDrops.registerReason(wire::toString(error));
  }
  auto& packets =
    aMetrics.counter("cornelcross_packets_forwarded_total", "IP packets handed to an agent");
  auto& probes = aMetrics.counter("cornelcross_probes_total", "Probes sent to agents");
  auto& suspects =
    aMetrics.gauge("cornelcross_suspected_agents", "Agents that leave probes unanswered");
  auto& owners = aMetrics.gauge("cornelcross_owner_cache_flows", "Flows whose owner is remembered");
  auto& hedgesSent = aMetrics.counter("cornelcross_hedged_attempts_total",
                                      "Connection attempts that a second agent got");
  auto& hedgesWon = aMetrics.counter("cornelcross_hedged_attempts_won_total",
                                     "Hedged attempts that the second agent admitted first");
  auto& hedgesLost = aMetrics.counter("cornelcross_hedged_attempts_lost_total",
                                      "Hedged attempts that another agent admitted first");
  auto& noBudget = aMetrics.counter("cornelcross_hedged_attempts_without_budget_total",
                                    "Hedged attempts not sent because of the limit");
  auto& overload = aMetrics.counter("cornelcross_hedged_attempts_in_overload_total",
                                    "Hedged attempts not sent because the service is overloaded");
  aMetrics.onExpose([&] {
    const HedgePolicy& policy = aRouter.hedgePolicy();
    telemetry::raiseCounterTo(hedgesSent, static_cast<double>(policy.count(HedgeDecision::kSend)));
    telemetry::raiseCounterTo(hedgesWon, static_cast<double>(aRouter.hedgesWon()));
    telemetry::raiseCounterTo(hedgesLost, static_cast<double>(aRouter.hedgesLost()));
    telemetry::raiseCounterTo(noBudget,
                              static_cast<double>(policy.count(HedgeDecision::kNoBudget)));
    telemetry::raiseCounterTo(overload,
                              static_cast<double>(policy.count(HedgeDecision::kOverload)));
    telemetry::raiseCounterTo(packets, static_cast<double>(aPath.packetsForwarded()));
    telemetry::raiseCounterTo(probes, static_cast<double>(aRouter.failureDetector().probesSent()));
    suspects.Set(static_cast<double>(aRouter.failureDetector().suspectCount()));
    owners.Set(static_cast<double>(aRouter.cachedOwnerCount()));
  });
}

} // namespace cornelcross::balancer
