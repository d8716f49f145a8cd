#include "base/settings_validator.hpp"
#include "fakes/config_service/service.hpp"
#include "net/main_loop.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_string(listen, "", "ADDRESS:PORT");
DEFINE_string(documents, "", "JSON file {KEY: VALUE} to publish at the start");
DEFINE_uint32(readers, 0, "further ports above that of --listen, so that each reader has its own");
DEFINE_string(name, "config", "name in records");

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  base::SettingsValidator validator(
    base::parseSettings(&aArgc, &aArgv, "Fake configuration service."));
  const auto listen = validator.parseEndpoint("listen", FLAGS_listen);
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  net::MainLoop loop;
  fakes::ConfigService service(listen, FLAGS_name);
  for (std::uint32_t i = 1; i <= FLAGS_readers; ++i) {
    service.listen({ listen.mAddress, static_cast<std::uint16_t>(listen.mPort + i) });
  }
  if (!FLAGS_documents.empty()) {
    std::ifstream file(FLAGS_documents);
    const auto documents = nlohmann::json::parse(file, nullptr, false);
    if (!documents.is_object()) {
      std::cerr << "error: " << FLAGS_documents << ": expected a JSON object\n";
      return 1;
    }
    for (const auto& document : documents.items()) {
      service.publish(document.key(), document.value().dump());
    }
  }
  loop.onTerminate([&] { loop.quit(); });
  loop.run();
  return 0;
}
