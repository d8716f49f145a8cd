#include "agent/flow_table.hpp"
#include "balancer/packet_router.hpp"
#include "base/settings_validator.hpp"
#include "bench/common/sample_packet.hpp"
#include "bench/relay/relay_run.hpp"

#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>
#include <malloc.h>
#include <memory>

DEFINE_uint32(rounds, 5, "rounds; each measures the balancer and the bare relay in turn");
DEFINE_double(seconds, 1.0, "seconds per measurement");

namespace {

using namespace cornelcross;

constexpr double kTargetRatio = 0.8;

double median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

/// Ratio of packets per second per core, balancer over bare relay.
double measureRelay()
{
  std::vector<double> ratios;
  for (unsigned round = 0; round < FLAGS_rounds; ++round) {
    const double bare = bench::runBareRelay(FLAGS_seconds).perCoreSecond();
    const double balancer = bench::runBalancer(FLAGS_seconds).perCoreSecond();
    ratios.push_back(balancer / bare);
    std::printf(
      "relay_round bare_pps=%.0f balancer_pps=%.0f ratio=%.3f\n", bare, balancer, ratios.back());
  }
  return median(ratios);
}

void measureDecision(std::uint32_t aUpstreams)
{
  constexpr std::uint32_t kFlows = 4096;
  constexpr unsigned kRepeats = 20;
  balancer::PacketRouter router({}, kFlows);
  router.apply(bench::sampleConfiguration(aUpstreams));
  std::vector<flow::Bytes> packets;
  for (std::uint32_t i = 0; i < kFlows; ++i) {
    packets.push_back(bench::samplePacket(i, 200, flow::kAck));
  }
  std::vector<double> nanoseconds;
  for (unsigned repeat = 0; repeat < kRepeats; ++repeat) {
    const auto before = std::chrono::steady_clock::now();
    for (const auto& packet : packets) {
      router.route(before, packet);
    }
    const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - before;
    nanoseconds.push_back(spent.count() / kFlows);
  }
  std::printf("decision upstreams=%u ns=%.0f\n", aUpstreams, median(nanoseconds));
}

/// Bytes in use from the heap and from mapped blocks.
std::size_t allocatedBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void measureFlowState(std::uint32_t aFlows)
{
  const std::size_t before = allocatedBytes();
  auto table = std::make_unique<agent::FlowTable>();
  for (std::uint32_t i = 0; i < aFlows; ++i) {
    const auto packet = flow::TcpPacket::parse(bench::samplePacket(i, 0, flow::kSyn));
    table->insert(packet->keyFromCaller(), {});
  }
  const std::size_t used = allocatedBytes() - before;
  std::printf(
    "flow_state flows=%u bytes_per_flow=%.1f\n", aFlows, static_cast<double>(used) / aFlows);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  base::SettingsValidator validator(
    base::parseSettings(&aArgc, &aArgv, "Packets per second per core against a bare relay."));
  validator.requireRange("rounds", FLAGS_rounds, 1, 1000);
  validator.require(FLAGS_seconds >= 0.1 && FLAGS_seconds <= 600, "--seconds: expected 0.1 to 600");
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  for (const std::uint32_t upstreams : { 7U, 49U, 500U }) {
    measureDecision(upstreams);
  }
  for (const std::uint32_t flows : { 2000U, 300000U }) {
    measureFlowState(flows);
  }
  const double ratio = measureRelay();
  std::printf("relay ratio=%.3f\n", ratio);
  return ratio >= kTargetRatio ? 0 : 1;
}
