#include "balancer/balancer_metrics.hpp"

#include "wire/decode_errors.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace cornelcross::balancer {

namespace {

constexpr std::array kDropReasons = {
  DropReason::kMalformed,
  DropReason::kNoService,
  DropReason::kNoUpstream,
};

} // namespace

BalancerMetrics::BalancerMetrics(telemetry::Metrics& aMetrics,
                                 const Decisions& aDecisions,
                                 const PacketPath& aPath)
  : mDrops(aMetrics)
{
  for (const DropReason reason : kDropReasons) {
    mDrops.expect(toString(reason));
  }
  mDrops.expect("unconfirmed");
  for (const wire::DecodeError error : wire::kDecodeErrors) {
    mDrops.expect(wire::toString(error));
  }
  auto& packets =
    aMetrics.counter("cornelcross_packets_forwarded_total", "IP packets handed to an agent");
  auto& probes = aMetrics.counter("cornelcross_probes_total", "Probes sent to agents");
  auto& suspects =
    aMetrics.gauge("cornelcross_suspected_agents", "Agents that leave probes unanswered");
  auto& owners = aMetrics.gauge("cornelcross_owner_cache_flows", "Flows whose owner is remembered");
  aMetrics.onExpose([&] {
    telemetry::raiseTo(packets, static_cast<double>(aPath.forwarded()));
    telemetry::raiseTo(probes, static_cast<double>(aDecisions.peers().probes()));
    suspects.Set(static_cast<double>(aDecisions.peers().suspects()));
    owners.Set(static_cast<double>(aDecisions.rememberedOwners()));
  });
}

} // namespace cornelcross::balancer
