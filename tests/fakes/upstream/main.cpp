#include "base/settings_validator.hpp"
#include "fakes/upstream/server.hpp"

#include <csignal>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_string(listen, "", "ADDRESS:PORT where IP packets arrive in UDP from the agent");
DEFINE_string(agent, "", "ADDRESS:PORT of the agent");
DEFINE_string(service, "", "ADDRESS:PORT that the service listens on");
DEFINE_string(name, "upstream", "name in records");
DEFINE_uint32(slots, 7, "requests served at once");
DEFINE_uint32(queue, 64, "requests that wait before others are shed");
DEFINE_uint32(cold_ms, 0, "milliseconds after the start during which the upstream is cold");
DEFINE_uint32(cold_slots, 2, "requests that the upstream bears at once while cold");

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, "Upstream over lwIP."));
  fakes::ServerSettings settings;
  settings.mName = FLAGS_name;
  settings.mService = validator.parseEndpoint("service", FLAGS_service);
  settings.mSlots = FLAGS_slots;
  settings.mQueue = FLAGS_queue;
  settings.mColdMs = FLAGS_cold_ms;
  settings.mColdSlots = FLAGS_cold_slots;
  const auto listen = validator.parseEndpoint("listen", FLAGS_listen);
  const auto agent = validator.parseEndpoint("agent", FLAGS_agent);
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  fakes::LwipStack stack(listen, agent);
  stack.addAddress(settings.mService.mAddress);
  fakes::Server server(settings);
  fakes::LwipStack::run([&] { server.start(); });
  stack.onArrival([&](const flow::TcpPacket& aPacket, const std::string& aData) {
    server.onArrival(aPacket, aData);
  });
  stack.start();
  for (;;) {
    pause();
  }
}
