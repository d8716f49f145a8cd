#include "agent/runtime.hpp"
#include "base/settings_validator.hpp"
#include "membership/flags.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "", "[Addresses] ADDRESS:PORT to receive on");
DEFINE_string(
  advertise,
  "",
  "[Addresses] ADDRESS:PORT of this agent as the configuration lists it; --listen if empty");
DEFINE_string(service,
              "",
              "[Addresses] service of the upstream beside this agent; if empty, the configuration "
              "alone decides");
DEFINE_string(upstream,
              "",
              "[Addresses] ADDRESS:PORT of the upstream beside this agent; if empty, the "
              "configuration alone decides");
DEFINE_string(admin, "", "[Addresses] ADDRESS:PORT for /metrics, /status and /healthz");
DEFINE_string(fabric,
              "",
              "[Addresses] ADDRESS:PORT to which IP packets for callers are sent in UDP");
DEFINE_string(name, "agent", "[Logs] name of this process in logs");
DEFINE_uint32(max_flows, 2000, "[Limits] maximum connections of the upstream");
DEFINE_uint32(cold_limit,
              1,
              "[Limits] maximum concurrent requests of the upstream during a cold start");
DEFINE_uint32(cold_start_seconds,
              30,
              "[Limits] maximum duration of a cold start of the upstream in seconds");
DEFINE_uint32(hold_ms, 750, "[Limits] milliseconds that a new flow is queued before it is refused");
DEFINE_uint32(
  max_opening_wait_ms,
  150,
  "[Limits] as hold_ms, for flows to an address whose requests have a class; 0 for none");
DEFINE_bool(
  balance_by_speed,
  false,
  "[Limits] give slower upstreams of a service fewer new flows, and limit those to failing "
  "and flapping ones");
DEFINE_uint32(max_segment, 1380, "[Limits] upper bound for the MSS option of both sides in bytes");
DEFINE_uint32(drain_seconds,
              30,
              "[Limits] maximum wait of a stopping agent for active requests in seconds");
DEFINE_bool(log_flows, false, "[Logs] log an event for each flow that opens or closes");
DEFINE_uint32(flow_sample, 0, "[Logs] log the events of one in this many flows; 0 for none");

namespace {

constexpr std::uint32_t kMaxFlows = 16777216;
constexpr std::uint32_t kMaxDrainSeconds = 86400;
constexpr std::uint32_t kMaxColdLimit = 65535;
constexpr std::uint32_t kMaxColdStartSeconds = 86400;
constexpr std::uint32_t kMaxQueueTimeMs = 900; // below the callers' first retransmission (RFC 6298)
constexpr std::uint32_t kMinSegmentBytes = 536;  // RFC 9293, section 3.7.1
constexpr std::uint32_t kMaxSegmentBytes = 9000; // jumbo frames

const std::string kUsage = "Owns the flows of the upstream beside it.\n"
                           "Usage: cornelcross-agent FLAG...\n"
                           "Exit codes: 0 stopped by SIGTERM, 1 a socket cannot be opened, "
                           "2 invalid settings.";

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  net::MainLoop::holdSignals();
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, kUsage));
  validator.requireNoArguments(aArgc, aArgv);
  agent::RuntimeSettings settings;
  settings.mListen = validator.parseEndpoint("listen", FLAGS_listen);
  settings.mAgent.mSelf = FLAGS_advertise.empty()
                            ? settings.mListen
                            : validator.parseEndpoint("advertise", FLAGS_advertise);
  settings.mAgent.mService = FLAGS_service;
  if (!FLAGS_upstream.empty()) {
    settings.mAgent.mUpstreamAddress = validator.parseEndpoint("upstream", FLAGS_upstream);
  }
  settings.mAgent.mAdmission.mMaxFlows = FLAGS_max_flows;
  settings.mAgent.mAdmission.mConcurrencyLimit.mColdStartLimit = FLAGS_cold_limit;
  settings.mAgent.mAdmission.mConcurrencyLimit.mColdStartDuration =
    std::chrono::seconds(FLAGS_cold_start_seconds);
  settings.mAgent.mAdmission.mMaxQueueTime = std::chrono::milliseconds(FLAGS_hold_ms);
  settings.mAgent.mAdmission.mMaxOpeningWait = std::chrono::milliseconds(FLAGS_max_opening_wait_ms);
  settings.mAgent.mAdmission.mBalancesBySpeed = FLAGS_balance_by_speed;
  settings.mAgent.mMaxSegmentBytes = static_cast<std::uint16_t>(FLAGS_max_segment);
  settings.mAdmin = validator.parseEndpoint("admin", FLAGS_admin);
  settings.mMembership = membership::readFlags(validator, settings.mAgent.mSelf, settings.mListen);
  settings.mFabric = validator.parseEndpoint("fabric", FLAGS_fabric);
  settings.mName = FLAGS_name;
  settings.mDrainSeconds = FLAGS_drain_seconds;
  settings.mFlowSampleInterval = FLAGS_log_flows ? 1 : FLAGS_flow_sample;
  if (FLAGS_log_flows) {
    settings.mMaxFlowLogLinesPerSecond = UINT32_MAX; // --log_flows logs every flow
  }
  validator.requireRange("max_flows", FLAGS_max_flows, 1, kMaxFlows);
  validator.requireRange("drain_seconds", FLAGS_drain_seconds, 0, kMaxDrainSeconds);
  validator.requireRange("cold_limit", FLAGS_cold_limit, 1, kMaxColdLimit);
  validator.requireRange("cold_start_seconds", FLAGS_cold_start_seconds, 0, kMaxColdStartSeconds);
  validator.requireRange("hold_ms", FLAGS_hold_ms, 0, kMaxQueueTimeMs);
  validator.requireRange("max_opening_wait_ms", FLAGS_max_opening_wait_ms, 0, kMaxQueueTimeMs);
  validator.requireRange("max_segment", FLAGS_max_segment, kMinSegmentBytes, kMaxSegmentBytes);
  validator.requireReachable("advertise", settings.mAgent.mSelf);
  validator.requireDistinct({ { "listen", settings.mListen },
                              { "admin", settings.mAdmin },
                              { "config_service", settings.mMembership.mConfigService },
                              { "fabric", settings.mFabric } });
  validator.require(!FLAGS_name.empty(), "--name: expected a non-empty name");
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  try {
    agent::Runtime(settings).run();
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
