#include "base/settings_validator.hpp"
#include "fakes/common/record.hpp"
#include "fakes/fabric/control.hpp"

#include <gflags/gflags.h>
#include <glib-unix.h>
#include <sstream>
#include <unistd.h>

DEFINE_string(listen, "", "ADDRESS:PORT for IP packets in UDP from callers and agents");
DEFINE_string(balancers, "", "comma-separated ADDRESS:PORT list");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(name, "fabric", "name in records");
DEFINE_double(loss, 0, "probability that a packet is lost");
DEFINE_double(duplicate, 0, "probability that a packet is duplicated");
DEFINE_uint32(delay_ms, 0, "milliseconds, one way");
DEFINE_uint32(jitter_ms, 0, "milliseconds added at random");
DEFINE_bool(control, false, "read control lines from standard input");

namespace {

using namespace cornelcross;

/// Control lines from standard input, as they arrive.
class ControlInput
{
public:
  explicit ControlInput(fakes::Relay& aRelay) : mRelay(aRelay)
  {
    g_unix_fd_add(STDIN_FILENO, G_IO_IN, &ControlInput::onReadable, this);
  }

private:
  static gboolean onReadable(gint, GIOCondition, gpointer aSelf)
  {
    return static_cast<ControlInput*>(aSelf)->read() ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
  }

  bool read()
  {
    std::array<char, 4096> buffer{};
    const ssize_t size = ::read(STDIN_FILENO, buffer.data(), buffer.size());
    if (size <= 0) {
      return false;
    }
    mInput.append(buffer.data(), static_cast<std::size_t>(size));
    for (auto end = mInput.find('\n'); end != std::string::npos; end = mInput.find('\n')) {
      const std::string line = mInput.substr(0, end);
      mInput.erase(0, end + 1);
      const bool isDone = fakes::controlRelay(mRelay, line);
      fakes::record(
        FLAGS_name, isDone ? "control" : "control_rejected", { { "line", '"' + line + '"' } });
    }
    return true;
  }

  fakes::Relay& mRelay;
  std::string mInput;
};

} // namespace

int main(int aArgc, char** aArgv)
{
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, "Fake fabric."));
  const auto listen = validator.parseEndpoint("listen", FLAGS_listen);
  std::vector<flow::Endpoint> balancers;
  std::istringstream list(FLAGS_balancers);
  for (std::string item; std::getline(list, item, ',');) {
    balancers.push_back(validator.parseEndpoint("balancers", item));
  }
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  net::MainLoop loop;
  fakes::Relay relay(loop, listen, FLAGS_seed, FLAGS_name);
  relay.useBalancers(balancers);
  relay.links().setDefault({ FLAGS_loss, FLAGS_duplicate, FLAGS_delay_ms, FLAGS_jitter_ms });
  fakes::record(FLAGS_name, "fabric_started", { { "seed", std::to_string(FLAGS_seed) } });
  std::optional<ControlInput> control;
  if (FLAGS_control) {
    control.emplace(relay);
  }
  loop.onTerminate([&] { loop.quit(); });
  loop.run();
  return 0;
}
