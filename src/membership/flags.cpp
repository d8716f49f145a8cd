#include "membership/flags.hpp"

#include <gflags/gflags.h>
#include <random>
#include <sstream>

DEFINE_string(config_service, "", "[Addresses] ADDRESS:PORT of the configuration service");
DEFINE_string(peers,
              "",
              "[Configuration] ADDRESS:PORT,... of processes that a starting process asks");
DEFINE_string(
  zone,
  "",
  "[Configuration] availability zone; an agent's is taken from the configuration if empty");
DEFINE_uint32(config_readers,
              2,
              "[Configuration] processes of a zone that read the configuration service all the "
              "time; 0 for all");
DEFINE_uint32(control_budget, 20000, "[Limits] bytes a second of control traffic");

namespace cornelcross::membership {

ShellSettings readFlags(base::SettingsCheck& aCheck, flow::Endpoint aSelf, flow::Endpoint aListen)
{
  ShellSettings settings;
  settings.mListen = aListen;
  settings.mConfigService = aCheck.endpoint("config_service", FLAGS_config_service);
  settings.mControlBytesPerSecond = FLAGS_control_budget;
  settings.mDecisions.mSelf = aSelf;
  settings.mDecisions.mZone = FLAGS_zone;
  settings.mDecisions.mReaders = FLAGS_config_readers;
  settings.mDecisions.mSeed = std::random_device{}();
  std::istringstream peers(FLAGS_peers);
  for (std::string peer; std::getline(peers, peer, ',');) {
    settings.mDecisions.mSeeds.push_back(aCheck.endpoint("peers", peer));
  }
  aCheck.range("control_budget", FLAGS_control_budget, 1000, 1000000000);
  return settings;
}

} // namespace cornelcross::membership
