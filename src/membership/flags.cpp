#include "membership/flags.hpp"

#include <gflags/gflags.h>
#include <random>
#include <sstream>

DEFINE_string(config_service, "", "[Addresses] ADDRESS:PORT of the configuration service");
DEFINE_string(peers,
              "",
              "[Configuration] ADDRESS:PORT,... of processes that a starting process queries");
DEFINE_string(
  zone,
  "",
  "[Configuration] availability zone; if empty, an agent reads its zone from the configuration");
DEFINE_uint32(config_readers,
              2,
              "[Configuration] processes per zone that watch the configuration service; 0: all");
DEFINE_uint32(control_budget, 20000, "[Limits] rate of control traffic in bytes per second");

namespace cornelcross::membership {

RuntimeSettings readFlags(base::SettingsValidator& aValidator,
                          flow::Endpoint aSelf,
                          flow::Endpoint aListen)
{
  RuntimeSettings settings;
  settings.mListen = aListen;
  settings.mConfigService = aValidator.parseEndpoint("config_service", FLAGS_config_service);
  settings.mControlBytesPerSecond = FLAGS_control_budget;
  settings.mSync.mSelf = aSelf;
  settings.mSync.mZone = FLAGS_zone;
  settings.mSync.mReadersPerZone = FLAGS_config_readers;
  settings.mSync.mRandomSeed = std::random_device{}();
  std::istringstream peers(FLAGS_peers);
  for (std::string peer; std::getline(peers, peer, ',');) {
    settings.mSync.mSeeds.push_back(aValidator.parseEndpoint("peers", peer));
  }
  aValidator.requireRange("control_budget", FLAGS_control_budget, 1000, 1000000000);
  return settings;
}

} // namespace cornelcross::membership
