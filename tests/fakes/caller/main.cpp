#include "base/settings_validator.hpp"
#include "fakes/caller/workload.hpp"
#include "fakes/common/record.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(listen, "", "ADDRESS:PORT where IP packets arrive in UDP from the fabric");
DEFINE_string(fabric, "", "ADDRESS:PORT of the fabric");
DEFINE_string(sources, "", "comma-separated addresses of callers");
DEFINE_string(load, "", "KIND@ADDRESS:PORT*RATE;... sessions a second");
DEFINE_uint32(seconds, 10, "seconds during which sessions start");
DEFINE_uint32(grace_seconds, 60, "seconds that the last sessions may take");
DEFINE_uint32(deadline_ms, 30000, "milliseconds within which an answer must come");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_bool(syn_data, false, "send the first request of each session in its SYN as well");
DEFINE_string(name, "caller", "name in records");

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, "Callers over lwIP."));
  const auto listen = validator.parseEndpoint("listen", FLAGS_listen);
  const auto fabric = validator.parseEndpoint("fabric", FLAGS_fabric);
  const auto streams = fakes::parseLoad(FLAGS_load);
  const auto sources = fakes::parseSources(FLAGS_sources);
  validator.require(!streams.empty(), "--load: expected KIND@ADDRESS:PORT*RATE;...");
  validator.require(!sources.empty(), "--sources: expected a list of addresses");
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  fakes::LwipStack stack(listen, fabric);
  for (const auto& source : sources) {
    stack.addAddress(source);
  }
  stack.start();
  std::function<void(std::string)> synData;
  if (FLAGS_syn_data) {
    synData = [&](std::string aData) { stack.sendInNextSyn(std::move(aData)); };
  }
  fakes::Workload workload(
    { FLAGS_name, sources, streams, FLAGS_deadline_ms, FLAGS_seed, synData });
  fakes::LwipStack::run([&] { workload.start(); });
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  fakes::LwipStack::run([&] { workload.stop(); });
  for (unsigned i = 0; i < FLAGS_grace_seconds * 10 && workload.tally().mOpen > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  const fakes::Tally& tally = workload.tally();
  fakes::record(FLAGS_name,
                "caller_summary",
                { { "flows", std::to_string(tally.mFlows) },
                  { "answered", std::to_string(tally.mAnswered) },
                  { "refused", std::to_string(tally.mRefused) },
                  { "unanswered", std::to_string(tally.mUnanswered) },
                  { "broken", std::to_string(tally.mBroken) },
                  { "incomplete", std::to_string(tally.mIncomplete) },
                  { "shed", std::to_string(tally.mShed) },
                  { "open", std::to_string(tally.mOpen) } });
  std::cout.flush();
  std::_Exit(0); // lwIP's threads have no end of their own
}
