#include "bench/control/fleet.hpp"

#include "bench/control/http.hpp"

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace cornelcross::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kAgentNet = 0x7F220001U;       // 127.34.0.1 and on
constexpr std::uint32_t kBalancerNet = 0x7F22F001U;    // 127.34.240.1 and on
constexpr std::uint32_t kServiceAddress = 0xC6120001U; // 198.18.0.1 and on
constexpr flow::Endpoint kConfigService{ { 0x7F22FF01U }, 8000 };
constexpr std::uint16_t kDataPort = 7000;
constexpr std::uint16_t kUpstreamPort = 7001;
constexpr std::uint16_t kAdminPort = 9000;
constexpr std::uint32_t kZones = 3;

flow::Endpoint agentOf(std::uint32_t aUpstream)
{
  return { { kAgentNet + aUpstream }, kDataPort };
}

std::string zoneOf(std::uint32_t aNumber)
{
  return std::string("zone-") + static_cast<char>('a' + aNumber % kZones);
}

std::string keyOf(std::uint32_t aService)
{
  return "service/service-" + std::to_string(aService);
}

std::string valueOf(const std::string& aLine, const std::string& aField)
{
  const std::size_t at = aLine.find(aField + "=");
  return at == std::string::npos ? "" : aLine.substr(at + aField.size() + 1);
}

} // namespace

FleetTotals FleetTotals::operator-(const FleetTotals& aOther) const
{
  return { mSentBytes - aOther.mSentBytes,
           mReceivedBytes - aOther.mReceivedBytes,
           mMessages - aOther.mMessages,
           mCalls - aOther.mCalls,
           mCpuSeconds - aOther.mCpuSeconds };
}

Fleet::Fleet(const FleetSettings& aSettings) : mSettings(aSettings), mService(kConfigService)
{
  writeDocuments();
  mConfigService = std::make_unique<ChildProcess>(
    std::vector<std::string>{ mSettings.mBuild + "/tests/fake-config-service",
                              "--listen=" + mService.toString(),
                              "--documents=" + mSettings.mFolder + "/documents.json" },
    mSettings.mFolder + "/config.log");
  for (int tries = 0; tries < 100 && httpGet(mService, "/v1/documents?after=999999").empty();
       ++tries) {
    std::this_thread::sleep_for(50ms);
  }
  for (std::uint32_t i = 0; i < mSettings.mBalancers; ++i) {
    startProcess("balancer", i, { { kBalancerNet + i }, kDataPort });
  }
  for (std::uint32_t i = 0; i < mSettings.mAgents; ++i) {
    startProcess("agent", i, agentOf(i));
  }
}

std::string Fleet::serviceText(std::uint32_t aService, const std::string& aState) const
{
  nlohmann::json upstreams = nlohmann::json::array();
  for (std::uint32_t i = aService; i < mSettings.mUpstreams; i += mSettings.mServices) {
    upstreams.push_back(
      { { "name", "service-" + std::to_string(aService) + "-upstream-" + std::to_string(i) },
        { "agent", agentOf(i).toString() },
        { "address", flow::Endpoint{ agentOf(i).mAddress, kUpstreamPort }.toString() },
        { "zone", zoneOf(i) },
        { "slots", 7 },
        { "state", i == aService ? aState : "serving" } });
  }
  const flow::Endpoint address{ { kServiceAddress + aService }, 80 };
  const nlohmann::json document = { { "address", address.toString() }, { "upstreams", upstreams } };
  return document.dump();
}

void Fleet::writeDocuments() const
{
  std::ofstream file(mSettings.mFolder + "/documents.json");
  file << "{";
  for (std::uint32_t i = 0; i < mSettings.mServices; ++i) {
    file << (i == 0 ? "" : ",\n") << '"' << keyOf(i) << "\": " << serviceText(i, "serving");
  }
  file << "}\n";
}

void Fleet::startProcess(const std::string& aRole, std::uint32_t aNumber, flow::Endpoint aListen)
{
  const flow::Endpoint admin{ aListen.mAddress, kAdminPort };
  const std::string name = aRole + "-" + std::to_string(aNumber);
  std::vector<std::string> command{ mSettings.mBuild + "/cornelcross-" + aRole,
                                    "--listen=" + aListen.toString(),
                                    "--admin=" + admin.toString(),
                                    "--config_service=" + mService.toString(),
                                    "--name=" + name };
  if (aRole == "agent") {
    command.push_back("--fabric=" + flow::Endpoint{ mService.mAddress, kDataPort }.toString());
  } else {
    command.push_back("--zone=" + zoneOf(aNumber));
  }
  if (mSettings.mAllRead) {
    command.push_back("--config_readers=0");
  }
  mProcesses.emplace_back(command, mSettings.mFolder + "/" + name + ".log");
  mAdmins.push_back(admin);
}

bool Fleet::waitUntilReady(double aSeconds) const
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(aSeconds);
  for (const flow::Endpoint admin : mAdmins) {
    while (httpGet(admin, "/healthz").empty()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(50ms);
    }
  }
  return true;
}

FleetTotals Fleet::totals() const
{
  FleetTotals totals;
  for (const flow::Endpoint admin : mAdmins) {
    const std::string text = httpGet(admin, "/metrics");
    totals.mSentBytes += metricSum(text, "cornelcross_control_bytes_total", "\"out\"");
    totals.mReceivedBytes += metricSum(text, "cornelcross_control_bytes_total", "\"in\"");
    totals.mMessages += metricSum(text, "cornelcross_control_messages_total", "");
    totals.mCalls += metricSum(text, "cornelcross_config_service_calls_total", "");
  }
  for (const ChildProcess& process : mProcesses) {
    totals.mCpuSeconds += process.cpuSeconds();
  }
  return totals;
}

std::uint64_t Fleet::publishChange()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto service = static_cast<std::uint32_t>(mPublishedAt.size()) % mSettings.mServices;
  const std::string state = mPublishedAt.size() % 2 == 0 ? "leaving" : "joining";
  const std::string answer =
    httpPut(mService, "/v1/documents/" + keyOf(service), serviceText(service, state));
  const std::uint64_t revision = std::stoull(answer);
  mPublishedAt[revision] =
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  return revision;
}

std::map<std::uint64_t, std::vector<double>> Fleet::applyTimes() const
{
  std::map<std::uint64_t, std::vector<double>> times;
  for (const ChildProcess& process : mProcesses) {
    std::map<std::uint64_t, double> first;
    std::ifstream file(process.log());
    for (std::string line; std::getline(file, line);) {
      if (line.find("event=config_applied") == std::string::npos) {
        continue;
      }
      const std::uint64_t applied = std::stoull(valueOf(line, "revision"));
      const double at = std::stod(valueOf(line, "time_us"));
      for (const auto& [revision, published] : mPublishedAt) {
        if (revision <= applied && !first.contains(revision)) {
          first[revision] = (at - static_cast<double>(published)) / 1000;
        }
      }
    }
    for (const auto& [revision, milliseconds] : first) {
      times[revision].push_back(milliseconds);
    }
  }
  return times;
}

} // namespace cornelcross::bench
