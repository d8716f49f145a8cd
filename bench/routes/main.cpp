/// Measures what a version of the operators' configuration costs a process, from the bytes of the
/// store's response to the routing index, by its number of routes and of changed routes. Prints one
/// line of key=value pairs for each figure.

#include "balancer/packet_router.hpp"
#include "base/settings_validator.hpp"
#include "config/document_store.hpp"
#include "config/retained_routes.hpp"
#include "platform/packet.hpp"
#include "platform/store_reader.hpp"
#include "wire/pull.hpp"

#include <ctime>
#include <gflags/gflags.h>
#include <glib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(routes, "10,100,1000,3500,5000,20000", "numbers of routes to measure");
DEFINE_uint32(repetitions, 5, "versions of which the median is printed");

namespace {

using namespace cornelcross;
using Json = nlohmann::json;

constexpr std::uint32_t kFirstAddress = 0xC6120000; // 198.18.0.0 (RFC 2544)
constexpr std::uint32_t kPortsPerAddress = 1000;
constexpr std::size_t kMaxPullBytes = 256 * 1024;

double processorMilliseconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// Configuration in which the first aChanged routes differ from those of version 1.
std::string makeConfig(std::uint32_t aRoutes, std::uint64_t aVersion, std::uint32_t aChanged)
{
  Json config{ { "version", aVersion },
               { "routes", Json::array() },
               { "services", Json::array() } };
  for (std::uint32_t i = 0; i < aRoutes; ++i) {
    const flow::Ipv4Address address{ kFirstAddress + i / kPortsPerAddress };
    config["routes"].push_back({ { "name", "r-" + std::to_string(i) },
                                 { "hostname", address.toString() },
                                 { "prefix", "/" + std::to_string(1 + i % kPortsPerAddress) + "/" },
                                 { "type", "safe" },
                                 { "priority", 1 },
                                 { "targetLatencyMs", 150 },
                                 { "timeoutMs", i < aChanged ? 800 + aVersion : 800 },
                                 { "service", i < aChanged && aVersion % 2 == 0 ? "b" : "a" } });
  }
  config["services"] = { { { "name", "a" } }, { { "name", "b" } } };
  return config.dump();
}

std::string toBase64(const std::string& aText)
{
  char* encoded = g_base64_encode(reinterpret_cast<const guchar*>(aText.data()), aText.size());
  std::string text = encoded;
  g_free(encoded);
  return text;
}

/// A process that reads the store and applies what it reads.
class Process
{
public:
  Process() : mReader({ { "a" }, 8172, std::chrono::seconds(1) }, context()) {}

  /// Applies a response of the store. Returns the processor time in milliseconds.
  double apply(const std::string& aList, std::uint64_t aRevision, const std::string& aConfig)
  {
    const Json item{ { "key", "op/config" },
                     { "value", toBase64(aConfig) },
                     { "revision", aRevision },
                     { "created", 1 },
                     { "lease", 0 } };
    const Json body{ { aList, { item } }, { "storeRevision", aRevision } };
    return applyResponse(body.dump(), aList == "items" ? 0 : 3);
  }

  /// Lets the time pass in which upstreams may register again after the first response.
  void settle(std::uint64_t aRevision)
  {
    constexpr int kResponses = 10;
    for (int i = 0; i < kResponses; ++i) {
      mNow += std::chrono::milliseconds(500);
      applyResponse(Json{ { "events", Json::array() }, { "storeRevision", aRevision } }.dump(), 3);
    }
  }

  /// Applies all changes that a peer has. Returns the processor time in milliseconds.
  double pull(const Process& aPeer)
  {
    const double start = processorMilliseconds();
    mPulledBytes = 0;
    for (std::uint64_t before = UINT64_MAX; before != mDocuments.revision();) {
      before = mDocuments.revision();
      wire::PullReply reply;
      reply.mBatch = aPeer.mDocuments.batchAfter(before, kMaxPullBytes);
      const flow::Bytes bytes = wire::encode(reply);
      mPulledBytes += bytes.size();
      mDocuments.merge(wire::decodePullReply(bytes)->mBatch);
      activate();
    }
    return processorMilliseconds() - start;
  }

  std::size_t pulledBytes() const { return mPulledBytes; }

private:
  double applyResponse(const std::string& aBody, unsigned aWaitSeconds)
  {
    const net::HttpClientResponse response{ SOUP_STATUS_OK, aBody, {} };
    mReader.start(mNow, mDocuments.revision(), aWaitSeconds);
    const double start = processorMilliseconds();
    const auto step = mReader.onResult(mNow, response);
    const auto& result = std::get<net::ConfigResult>(step);
    mDocuments.merge(std::get<net::ConfigResponse>(result).mBatch);
    activate();
    return processorMilliseconds() - start;
  }

  net::DocumentSourceContext context()
  {
    return { [](const net::ConfigResult&) {},
             [this](const std::string& aKey) -> std::optional<config::Document> {
               const auto found = mDocuments.documentsForKeys({ aKey });
               return found.empty() ? std::nullopt : std::optional(found.front());
             },
             [this](const std::string& aPrefix) { return mDocuments.keysWithPrefix(aPrefix); },
             [](const telemetry::Event&) {} };
  }

  void activate() { mRouter.apply(mRetained.apply(mNow, mDocuments.configuration())); }

  base::Time mNow{ std::chrono::hours(1) };
  config::DocumentStore mDocuments;
  config::RetainedRoutes mRetained{ std::chrono::seconds(60), std::chrono::seconds(2), 1, true };
  balancer::PacketRouter mRouter{ {}, 1000, platform::packetFormat(), true, "a" };
  platform::StoreReader mReader;
  std::size_t mPulledBytes = 0;
};

double median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

void measure(std::uint32_t aRoutes)
{
  const std::string first = makeConfig(aRoutes, 1, 0);
  std::vector<double> decode;
  std::vector<double> list;
  std::vector<double> one;
  std::vector<double> all;
  std::vector<double> pull;
  std::size_t pulledBytes = 0;
  for (std::uint32_t i = 0; i < FLAGS_repetitions; ++i) {
    const double start = processorMilliseconds();
    platform::decodeOperatorConfig(first);
    decode.push_back(processorMilliseconds() - start);
    Process process;
    Process peer;
    std::uint64_t revision = 10;
    list.push_back(process.apply("items", ++revision, first));
    process.settle(revision);
    peer.pull(process);
    one.push_back(process.apply("events", ++revision, makeConfig(aRoutes, 2, 1)));
    pull.push_back(peer.pull(process));
    pulledBytes = peer.pulledBytes();
    all.push_back(process.apply("events", ++revision, makeConfig(aRoutes, 3, aRoutes)));
  }
  std::cout << "routes=" << aRoutes << " text_bytes=" << first.size()
            << " decode_ms=" << median(decode) << " first_read_ms=" << median(list)
            << " one_changed_ms=" << median(one) << " all_changed_ms=" << median(all)
            << " pull_one_ms=" << median(pull) << " pull_one_bytes=" << pulledBytes << '\n';
}

} // namespace

int main(int aArgc, char** aArgv)
{
  base::SettingsValidator validator(base::parseSettings(
    &aArgc, &aArgv, "Measures the cost of a configuration by its number of routes."));
  validator.requireNoArguments(aArgc, aArgv);
  validator.requireRange("repetitions", FLAGS_repetitions, 1, 1000);
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  std::istringstream routes(FLAGS_routes);
  for (std::string count; std::getline(routes, count, ',');) {
    measure(static_cast<std::uint32_t>(std::stoul(count)));
  }
  return 0;
}
