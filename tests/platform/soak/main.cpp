#include "platform/soak/faults.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <unistd.h>

DEFINE_string(programs, "build", "build folder that contains cornelcross-platform");
DEFINE_string(logs,
              "",
              "folder for the logs; if empty, a temporary folder, which is removed after a pass");
DEFINE_uint64(seed, 1, "seed of the faults, the load and the fabric");
DEFINE_uint32(seconds, 30, "duration of the faults in seconds");
DEFINE_uint32(zones, 2, "availability zones");
DEFINE_uint32(balancers, 2, "balancers in each zone");
DEFINE_uint32(upstreams, 4, "upstreams with agents in each zone");
DEFINE_double(flows, 20, "new flows in each zone per second");
DEFINE_string(faults, "", "kinds of faults, separated by commas; all if empty");
DEFINE_uint32(network, 140, "second octet of the loopback addresses; runs side by side differ");

namespace {

using namespace cornelcross;
using namespace std::chrono_literals;

constexpr base::Duration kStartTime = 6s;     // before the callers
constexpr base::Duration kRecoveryTime = 12s; // after the last fault
constexpr base::Duration kFinalWindow = 3s;
constexpr double kMinServedShare = 0.25;

std::filesystem::path createLogFolder()
{
  if (!FLAGS_logs.empty()) {
    std::filesystem::create_directories(FLAGS_logs);
    return FLAGS_logs;
  }
  std::string name = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder for the logs");
  }
  return name;
}

std::set<std::string> split(const std::string& aText)
{
  std::set<std::string> words;
  std::istringstream text(aText);
  for (std::string word; std::getline(text, word, ',');) {
    words.insert(word);
  }
  return words;
}

bool run(const std::filesystem::path& aLogs)
{
  net::MainLoop loop;
  soak::Observations observations;
  soak::FleetSettings settings;
  settings.mSeed = FLAGS_seed;
  settings.mPrograms = std::filesystem::absolute(FLAGS_programs);
  settings.mLogs = std::filesystem::absolute(aLogs);
  settings.mNetwork = FLAGS_network;
  settings.mZones = FLAGS_zones;
  settings.mBalancersPerZone = FLAGS_balancers;
  settings.mUpstreamsPerZone = FLAGS_upstreams;
  settings.mFlowsPerSecond = FLAGS_flows;
  soak::Fleet fleet(settings, loop, observations);
  soak::Faults faults(fleet, FLAGS_seed, split(FLAGS_faults));
  fleet.start();
  loop.after(kStartTime, [&] { fleet.startCallers(); });
  loop.after(kStartTime + 2s, [&] { faults.start(); });
  const base::Duration end = kStartTime + 2s + std::chrono::seconds(FLAGS_seconds);
  loop.after(end, [&] { faults.stop(); });
  loop.after(end + kRecoveryTime + kFinalWindow + 2s, [&] { loop.quit(); });
  loop.run();
  const base::Time now = net::MainLoop::now();
  const double served = observations.servedShare(now - kFinalWindow - 2s, now - 2s);
  if (served < kMinServedShare) {
    observations.addViolation(now, "RECOVER: served " + std::to_string(served));
  }
  std::cout << "requests=" << observations.requests() << " answered=" << observations.answered()
            << " resets=" << fleet.resets() << " served_at_end=" << served;
  for (const auto& [kind, count] : faults.counts()) {
    std::cout << " " << kind << "=" << count;
  }
  std::cout << " violations=" << observations.violations().size() << std::endl;
  return observations.violations().empty();
}

} // namespace

int main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("soak [FLAGS]");
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  try {
    const std::filesystem::path logs = createLogFolder();
    std::cout << "seed=" << FLAGS_seed << " logs=" << logs << std::endl;
    const bool hasPassed = run(logs);
    if (hasPassed && FLAGS_logs.empty()) {
      std::filesystem::remove_all(logs);
    }
    return hasPassed ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 1;
  }
}
