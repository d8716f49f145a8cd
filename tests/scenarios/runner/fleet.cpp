#include "scenarios/runner/fleet.hpp"

#include "scenarios/runner/http.hpp"

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

namespace cornelcross::scenarios {

namespace {

// Numbers of hosts in the range of the run.
constexpr unsigned kConfigHost = 1;
constexpr unsigned kFabricHost = 2;
constexpr unsigned kFirstBalancer = 10;
constexpr unsigned kFirstUpstream = 40;
constexpr unsigned kFirstCaller = 200;
constexpr unsigned kFirstSource = 1;

constexpr std::uint16_t kDataPort = 7000;
constexpr std::uint16_t kUpstreamPort = 7001;
constexpr std::uint16_t kAdvertisedPort = 7100;
constexpr std::uint16_t kConfigPort = 8000;
constexpr std::uint16_t kAdminPort = 9000;
constexpr unsigned kReaders = 120;

constexpr std::chrono::milliseconds kStartLimit{ 20000 };
constexpr std::chrono::milliseconds kStopLimit{ 15000 };
constexpr std::chrono::milliseconds kFabricLag{ 1000 }; // until the fabric spares a balancer
constexpr std::chrono::milliseconds kPoll{ 20 };
constexpr unsigned kCallerDeadlineMs = 12000;
constexpr unsigned kCallerGraceSeconds = 25;
constexpr unsigned kSources = 4; // addresses of each caller process

bool isProduct(const Member& aMember)
{
  return aMember.mRole != "upstream";
}

} // namespace

Fleet::Fleet(RunSettings aSettings, RunLog& aLog) : mSettings(std::move(aSettings)), mLog(aLog) {}

void Fleet::addMember(const std::string& aName, Member aMember)
{
  aMember.mReader = static_cast<std::uint16_t>(kConfigPort + 1 + mMembers.size());
  mMembers.insert_or_assign(aName, std::move(aMember));
}

void Fleet::addBalancers(unsigned aCount)
{
  for (unsigned i = 0; i < aCount; ++i) {
    const std::string name = "balancer-" + std::to_string(mBalancers + 1);
    addMember(
      name,
      { "balancer", mDeployment.zoneOf(mBalancers), "", kFirstBalancer + mBalancers, 0, nullptr });
    ++mBalancers;
  }
}

void Fleet::addService(const ServiceSpec& aService, unsigned aUpstreams)
{
  ServiceSpec service = aService;
  const auto number = static_cast<std::uint32_t>(mDeployment.mServices.size());
  service.mAddress = { { 0xC633640AU + number }, 80 }; // 198.51.100.10 and up (RFC 5737)
  mDeployment.mServices[service.mName] = service;
  for (unsigned i = 0; i < aUpstreams; ++i) {
    const unsigned host = kFirstUpstream + mUpstreams++;
    const std::string name = service.mName + "-" + std::to_string(i + 1);
    const std::string& zone = mDeployment.zoneOf(i);
    mDeployment.mUpstreams[name] = { name,
                                     service.mName,
                                     zone,
                                     "serving",
                                     mRange.at(host, kAdvertisedPort),
                                     mRange.at(host, kUpstreamPort) };
    addMember(name, { "upstream", zone, service.mName, host, 0, nullptr });
    addMember(name + "-agent", { "agent", zone, service.mName, host, 0, nullptr });
  }
}

std::filesystem::path Fleet::program(const std::string& aName) const
{
  const bool isFaulty = !mSettings.mFault.empty() && !aName.starts_with("fake-");
  if (isFaulty) {
    return mSettings.mPrograms / "tests" / ("faulty-" + aName);
  }
  return aName.starts_with("fake-") ? mSettings.mPrograms / "tests" / aName
                                    : mSettings.mPrograms / ("cornelcross-" + aName);
}

void Fleet::startPlatform()
{
  const std::string config = mRange.at(kConfigHost, kConfigPort).toString();
  mConfig =
    std::make_unique<Child>(std::vector<std::string>{ program("fake-config-service"),
                                                      "--listen=" + config,
                                                      "--readers=" + std::to_string(kReaders) },
                            mSettings.mLogs / "config.log",
                            "");
  mFabric = std::make_unique<Child>(
    std::vector<std::string>{ program("fake-fabric"),
                              "--listen=" + mRange.at(kFabricHost, kDataPort).toString(),
                              "--control",
                              "--seed=" + std::to_string(mSettings.mSeed) },
    mSettings.mLogs / "fabric.log",
    "");
  waitUntil("the configuration service answers", kStartLimit, [this] {
    return request("GET", mRange.at(kConfigHost, kConfigPort), "/v1/documents?after=0&wait=0")
      .has_value();
  });
}

void Fleet::startAll()
{
  startPlatform();
  for (const auto& [name, member] : mMembers) {
    const bool isAgent = member.mRole == "agent";
    const auto service = mDeployment.mServices.find(member.mService);
    mLog.write(
      "node",
      { { "name", name },
        { "role", member.mRole },
        { "zone", member.mZone },
        { "service",
          service == mDeployment.mServices.end() ? "" : service->second.mAddress.toString() } });
    if (isAgent || member.mRole == "balancer") {
      controlFabric("node " + name + " " + mRange.at(member.mHost, kAdvertisedPort).toString() +
                    " " + mRange.at(member.mHost, kDataPort).toString());
    }
  }
  // 3.5 ms between availability zones and 3 ms to callers, one way; nothing inside a zone.
  for (const auto& [fromName, from] : mMembers) {
    for (const auto& [toName, to] : mMembers) {
      if (isProduct(from) && isProduct(to) && from.mZone != to.mZone) {
        controlFabric("link " + mRange.at(from.mHost, 1).mAddress.toString() + " " +
                      mRange.at(to.mHost, 1).mAddress.toString() + " 0 0 3 1");
      }
    }
  }
  for (const auto& [name, service] : mDeployment.mServices) {
    publish("service/" + name, mDeployment.serviceDocument(name));
  }
  publish("zones", mDeployment.zonesDocument());
  for (const auto& [name, member] : mMembers) {
    start(name);
  }
  for (const auto& [name, member] : mMembers) {
    if (isProduct(member)) {
      waitUntilHealthy(name);
    }
  }
  sprayOverRunning();
}

std::vector<std::string> Fleet::commandOf(const std::string& aName,
                                          const Member& aMember,
                                          bool aIsCold)
{
  const std::string listen = mRange.at(aMember.mHost, kDataPort).toString();
  if (aMember.mRole == "upstream") {
    const ServiceSpec& service = mDeployment.mServices.at(aMember.mService);
    return { program("fake-upstream"),
             "--name=" + aName,
             "--listen=" + mRange.at(aMember.mHost, kUpstreamPort).toString(),
             "--agent=" + listen,
             "--service=" + service.mAddress.toString(),
             "--slots=" + std::to_string(service.mSlots),
             "--cold_ms=" + std::to_string(aIsCold ? service.mColdMs : 0),
             "--cold_slots=" + std::to_string(service.mColdSlots) };
  }
  std::vector<std::string> command{
    program(aMember.mRole),
    "--name=" + aName,
    "--listen=" + listen,
    "--advertise=" + mRange.at(aMember.mHost, kAdvertisedPort).toString(),
    "--admin=" + mRange.at(aMember.mHost, kAdminPort).toString(),
    "--config_service=" + mRange.at(kConfigHost, aMember.mReader).toString()
  };
  if (aMember.mRole == "agent") {
    command.push_back("--fabric=" + mRange.at(kFabricHost, kDataPort).toString());
    command.emplace_back("--log_flows");
  }
  return command;
}

void Fleet::start(const std::string& aName, bool aIsCold)
{
  Member& started = member(aName);
  if (started.mChild != nullptr && started.mChild->isRunning()) {
    throw std::runtime_error(aName + " runs already");
  }
  static unsigned count = 0;
  const std::string log = aName + "." + std::to_string(++count) + ".log";
  started.mChild = std::make_unique<Child>(
    commandOf(aName, started, aIsCold), mSettings.mLogs / log, mSettings.mFault);
  noteRun(aName, "up");
}

void Fleet::waitUntilHealthy(const std::string& aName)
{
  waitUntil(aName + " has a configuration", kStartLimit, [&, host = member(aName).mHost] {
    return request("GET", mRange.at(host, kAdminPort), "/healthz").has_value();
  });
}

void Fleet::noteRun(const std::string& aName, const std::string& aState)
{
  mLog.write("run", { { "name", aName }, { "state", aState } });
  if (member(aName).mRole == "upstream") {
    mLog.write("upstream_fault", { { "name", aName }, { "state", aState == "up" ? "off" : "on" } });
  }
}

void Fleet::stop(const std::string& aName)
{
  Member& stopped = member(aName);
  mLog.write("planned_stop", { { "name", aName } });
  stopped.mChild->signal(SIGTERM);
  stopSpraying(aName);
  if (!stopped.mChild->wait(kStopLimit)) {
    throw std::runtime_error(aName + " did not stop within 15 s of SIGTERM");
  }
  noteRun(aName, "down");
}

void Fleet::kill(const std::string& aName)
{
  noteRun(aName, "down");
  member(aName).mChild->signal(SIGKILL);
  member(aName).mChild->wait(kStopLimit);
  stopSpraying(aName);
}

void Fleet::stopSpraying(const std::string& aName)
{
  if (member(aName).mRole == "balancer") {
    std::this_thread::sleep_for(kFabricLag);
    sprayOverRunning(aName);
  }
}

void Fleet::freeze(const std::string& aName)
{
  noteRun(aName, "frozen");
  member(aName).mChild->signal(SIGSTOP);
  stopSpraying(aName);
}

void Fleet::thaw(const std::string& aName)
{
  member(aName).mChild->signal(SIGCONT);
  noteRun(aName, "up");
  sprayOverRunning();
}

void Fleet::endAll()
{
  mCallers.clear();
  for (auto& [name, ended] : mMembers) {
    if (ended.mChild != nullptr) {
      ended.mChild->signal(SIGCONT);
      ended.mChild->signal(SIGTERM);
    }
  }
  for (auto& [name, ended] : mMembers) {
    if (ended.mChild != nullptr && ended.mRole != "upstream") {
      ended.mChild->wait(kStopLimit);
    }
    ended.mChild.reset();
  }
  mFabric.reset();
  mConfig.reset();
}

std::uint64_t Fleet::publish(const std::string& aKey, const std::string& aText)
{
  const auto answer =
    request("PUT", mRange.at(kConfigHost, kConfigPort), "/v1/documents/" + aKey, aText);
  if (!answer) {
    throw std::runtime_error("the configuration service did not take " + aKey);
  }
  return std::stoull(*answer);
}

void Fleet::configMode(const std::string& aMode)
{
  mLog.write("config_mode", { { "mode", aMode } });
  if (!request("PUT", mRange.at(kConfigHost, kConfigPort), "/control/mode", aMode)) {
    throw std::runtime_error("the configuration service did not change its mode");
  }
}

void Fleet::controlFabric(const std::string& aLine)
{
  mFabric->writeLine(aLine);
}

void Fleet::sprayOverRunning(const std::string& aExcept)
{
  std::string list;
  for (const std::string& name : running("balancer")) {
    if (name == aExcept) {
      continue;
    }
    list += (list.empty() ? "" : ",") + mRange.at(member(name).mHost, kDataPort).toString();
  }
  controlFabric("balancers " + list);
}

void Fleet::load(const std::string& aService,
                 const std::string& aKind,
                 unsigned aRate,
                 unsigned aSeconds,
                 bool aSynData)
{
  const auto number = static_cast<unsigned>(mCallers.size());
  const std::string name = "caller" + std::to_string(number + 1);
  std::string sources;
  for (unsigned i = 0; i < kSources; ++i) {
    sources += (i == 0 ? "10.1." : ",10.1.") + std::to_string(number) + "." +
               std::to_string(kFirstSource + i);
  }
  const std::string service = mDeployment.mServices.at(aService).mAddress.toString();
  mCallers.push_back(std::make_unique<Child>(
    std::vector<std::string>{ program("fake-caller"),
                              "--name=" + name,
                              "--listen=" + mRange.at(kFirstCaller + number, kDataPort).toString(),
                              "--fabric=" + mRange.at(kFabricHost, kDataPort).toString(),
                              "--load=" + aKind + "@" + service + "*" + std::to_string(aRate),
                              "--sources=" + sources,
                              "--seconds=" + std::to_string(aSeconds),
                              "--deadline_ms=" + std::to_string(kCallerDeadlineMs),
                              "--grace_seconds=" + std::to_string(kCallerGraceSeconds),
                              "--seed=" + std::to_string(mSettings.mSeed + number),
                              aSynData ? "--syn_data" : "--nosyn_data" },
    mSettings.mLogs / (name + ".log"),
    ""));
}

bool Fleet::waitForCallers(std::chrono::milliseconds aLimit)
{
  bool areDone = true;
  for (const auto& caller : mCallers) {
    areDone = caller->wait(aLimit) && areDone;
  }
  return areDone;
}

std::vector<std::string> Fleet::addressesOf(const std::string& aTarget) const
{
  std::vector<std::string> addresses;
  for (const auto& [name, member] : mMembers) {
    const bool matches =
      name == aTarget || aTarget == "zone:" + member.mZone || aTarget == member.mRole + "s";
    if (matches && isProduct(member)) {
      addresses.push_back(mRange.at(member.mHost, 1).mAddress.toString());
    }
  }
  if (aTarget == "callers") {
    for (unsigned i = 0; i < mCallers.size(); ++i) {
      addresses.push_back(mRange.at(kFirstCaller + i, 1).mAddress.toString());
    }
  }
  if (addresses.empty()) {
    throw std::invalid_argument("nothing is called \"" + aTarget + '"');
  }
  return addresses;
}

Member& Fleet::member(const std::string& aName)
{
  const auto found = mMembers.find(aName);
  if (found == mMembers.end()) {
    throw std::invalid_argument("no process is called \"" + aName + '"');
  }
  return found->second;
}

std::vector<std::string> Fleet::running(const std::string& aRole) const
{
  std::vector<std::string> names;
  for (const auto& [name, member] : mMembers) {
    if (member.mRole == aRole && member.mChild != nullptr && member.mChild->isRunning()) {
      names.push_back(name);
    }
  }
  return names;
}

std::string Fleet::status(const std::string& aName, const std::string& aField)
{
  const auto body = request("GET", mRange.at(member(aName).mHost, kAdminPort), "/status");
  const auto status = nlohmann::json::parse(body.value_or(""), nullptr, false);
  return status.is_object() && status.contains(aField) ? status.at(aField).dump() : "";
}

void Fleet::waitUntil(const std::string& aWhat,
                      std::chrono::milliseconds aLimit,
                      const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("not within " + std::to_string(aLimit.count()) + " ms: " + aWhat);
    }
    std::this_thread::sleep_for(kPoll);
  }
}

} // namespace cornelcross::scenarios
