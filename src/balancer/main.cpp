#include "balancer/runtime.hpp"
#include "base/settings_validator.hpp"
#include "membership/flags.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen,
              "",
              "[Addresses] ADDRESS:PORT for IP packets in UDP from the fabric and for agents");
DEFINE_string(
  advertise,
  "",
  "[Addresses] ADDRESS:PORT at which other processes reach this one; --listen if empty");
DEFINE_string(admin, "", "[Addresses] ADDRESS:PORT for /metrics, /status and /healthz");
DEFINE_uint32(flow_sample,
              0,
              "[Logs] log the flow_offered event of one in this many new flows; 0 for none");
DEFINE_string(name, "balancer", "[Logs] name of this process in logs");
DEFINE_uint32(owner_cache, 131072, "[Limits] maximum number of cached flow owners per generation");
DEFINE_uint32(hedge_percent,
              0,
              "[Limits] hedged connection attempts as a percentage of the attempts; 0 for none");
DEFINE_uint32(
  drain_seconds,
  10,
  "[Stopping] seconds after SIGTERM during which the process still forwards packets and "
  "/healthz returns 503; a second SIGTERM stops the process at once");

namespace {

constexpr std::uint32_t kMaxOwnerCacheCapacity = 16777216;
constexpr std::uint32_t kMaxDrainSeconds = 86400;

const std::string kUsage = "Forwards each packet of a caller to the agents that may own its flow.\n"
                           "Usage: cornelcross-balancer FLAG...\n"
                           "Exit codes: 0 stopped by SIGTERM, 1 a socket cannot be opened, "
                           "2 invalid settings.";

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  net::MainLoop::holdSignals();
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, kUsage));
  validator.requireNoArguments(aArgc, aArgv);
  balancer::BalancerSettings settings;
  settings.mListen = validator.parseEndpoint("listen", FLAGS_listen);
  settings.mAdvertise = FLAGS_advertise.empty()
                          ? settings.mListen
                          : validator.parseEndpoint("advertise", FLAGS_advertise);
  settings.mAdmin = validator.parseEndpoint("admin", FLAGS_admin);
  settings.mMembership = membership::readFlags(validator, settings.mAdvertise, settings.mListen);
  settings.mName = FLAGS_name;
  settings.mFlowSampleInterval = FLAGS_flow_sample;
  settings.mOwnerCacheCapacity = FLAGS_owner_cache;
  settings.mDrainSeconds = FLAGS_drain_seconds;
  settings.mHedging.mPercent = FLAGS_hedge_percent;
  validator.requireRange("owner_cache", FLAGS_owner_cache, 1, kMaxOwnerCacheCapacity);
  validator.requireRange("drain_seconds", FLAGS_drain_seconds, 0, kMaxDrainSeconds);
  validator.requireRange("hedge_percent", FLAGS_hedge_percent, 0, balancer::kMaxHedgePercent);
  validator.requireReachable("advertise", settings.mAdvertise);
  validator.requireDistinct({ { "listen", settings.mListen },
                              { "admin", settings.mAdmin },
                              { "config_service", settings.mMembership.mConfigService } });
  validator.require(!FLAGS_name.empty(), "--name: expected a non-empty name");
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  try {
    balancer::Runtime(settings).run();
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
