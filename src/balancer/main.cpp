#include "balancer/shell.hpp"
#include "base/settings.hpp"
#include "membership/flags.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "", "ADDRESS:PORT for IP packets in UDP from the fabric and for agents");
DEFINE_string(advertise, "", "ADDRESS:PORT at which others reach this process; --listen if empty");
DEFINE_string(admin, "", "ADDRESS:PORT for /metrics, /status and /healthz");
DEFINE_string(name, "balancer", "name of this process in logs");
DEFINE_uint32(owner_cache, 131072, "flows per generation whose owner is remembered");

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  base::SettingsCheck check(
    base::parseSettings(&aArgc, &aArgv, "Hands packets of callers to agents."));
  balancer::BalancerSettings settings;
  settings.mListen = check.endpoint("listen", FLAGS_listen);
  settings.mAdvertise =
    FLAGS_advertise.empty() ? settings.mListen : check.endpoint("advertise", FLAGS_advertise);
  settings.mAdmin = check.endpoint("admin", FLAGS_admin);
  settings.mMembership = membership::readFlags(check, settings.mAdvertise, settings.mListen);
  settings.mName = FLAGS_name;
  settings.mCacheCapacity = FLAGS_owner_cache;
  check.range("owner_cache", FLAGS_owner_cache, 1, 16777216);
  check.require(!FLAGS_name.empty(), "--name: expected a non-empty name");
  if (check.report()) {
    return base::kExitInvalidSettings;
  }
  try {
    balancer::Shell(settings).run();
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
