#include "agent/shell.hpp"
#include "base/settings.hpp"
#include "membership/flags.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "", "ADDRESS:PORT to receive on");
DEFINE_string(advertise,
              "",
              "ADDRESS:PORT of this agent as the configuration lists it; --listen if empty");
DEFINE_string(admin, "", "ADDRESS:PORT for /metrics, /status and /healthz");
DEFINE_string(fabric, "", "ADDRESS:PORT to which IP packets for callers are sent in UDP");
DEFINE_string(name, "agent", "name of this process in logs");
DEFINE_uint32(max_flows, 2000, "connections that the upstream holds at most");
DEFINE_uint32(max_segment, 1380, "bytes; upper bound for the MSS option of both sides");
DEFINE_bool(log_flows, false, "log an event for each flow that opens or closes");

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  base::SettingsCheck check(
    base::parseSettings(&aArgc, &aArgv, "Owns the flows of the upstream beside it."));
  agent::ShellSettings settings;
  settings.mListen = check.endpoint("listen", FLAGS_listen);
  settings.mAgent.mSelf =
    FLAGS_advertise.empty() ? settings.mListen : check.endpoint("advertise", FLAGS_advertise);
  settings.mAgent.mMaxFlows = FLAGS_max_flows;
  settings.mAgent.mMaxSegment = static_cast<std::uint16_t>(FLAGS_max_segment);
  settings.mAdmin = check.endpoint("admin", FLAGS_admin);
  settings.mMembership = membership::readFlags(check, settings.mAgent.mSelf, settings.mListen);
  settings.mFabric = check.endpoint("fabric", FLAGS_fabric);
  settings.mName = FLAGS_name;
  settings.mLogFlows = FLAGS_log_flows;
  check.range("max_flows", FLAGS_max_flows, 1, 16777216);
  check.range("max_segment", FLAGS_max_segment, 536, 9000);
  check.require(!FLAGS_name.empty(), "--name: expected a non-empty name");
  if (check.report()) {
    return base::kExitInvalidSettings;
  }
  try {
    agent::Shell(settings).run();
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
