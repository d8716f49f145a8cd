#include "base/settings.hpp"
#include "fakes/common/record.hpp"
#include "fakes/fabric/relay.hpp"

#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(listen, "", "ADDRESS:PORT for IP packets in UDP from callers and agents");
DEFINE_string(balancers, "", "comma-separated ADDRESS:PORT list");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(name, "fabric", "name in records");
DEFINE_double(loss, 0, "probability that a packet is lost");
DEFINE_double(duplicate, 0, "probability that a packet is duplicated");
DEFINE_uint32(delay_ms, 0, "milliseconds, one way");
DEFINE_uint32(jitter_ms, 0, "milliseconds added at random");

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  base::SettingsCheck check(base::parseSettings(&aArgc, &aArgv, "Fake fabric."));
  const auto listen = check.endpoint("listen", FLAGS_listen);
  std::vector<flow::Endpoint> balancers;
  std::istringstream list(FLAGS_balancers);
  for (std::string item; std::getline(list, item, ',');) {
    balancers.push_back(check.endpoint("balancers", item));
  }
  if (check.report()) {
    return base::kExitInvalidSettings;
  }
  net::MainLoop loop;
  fakes::Relay relay(loop, listen, FLAGS_seed);
  relay.useBalancers(balancers);
  relay.useQuality({ FLAGS_loss, FLAGS_duplicate, FLAGS_delay_ms, FLAGS_jitter_ms });
  fakes::record(FLAGS_name, "fabric_started", { { "seed", std::to_string(FLAGS_seed) } });
  loop.onTerminate([&] { loop.quit(); });
  loop.run();
  return 0;
}
