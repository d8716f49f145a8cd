#include "platform/soak/fleet.hpp"

#include "telemetry/event_log.hpp"

#include <algorithm>

namespace cornelcross::soak {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kTickInterval = 10ms;
constexpr base::Duration kHeartbeat = 1200ms;
constexpr base::Duration kReadinessInterval = 500ms;
constexpr int kMaxMisses = 2; // then the fabric takes a balancer out of rotation
constexpr unsigned kFirstUpstreamHost = 50;
constexpr unsigned kCallerHost = 250;
constexpr unsigned kMaxIdleRoutes = 5;
constexpr std::size_t kSeeds = 3;

constexpr const char* kLiveService = "live4b";
constexpr const char* kSheetService = "sheet7a";
constexpr const char* kLiveAddress = "198.18.0.1:8080";
constexpr const char* kSheetAddress = "198.18.0.2:8443";
constexpr const char* kSharedAddress = "198.18.0.1:8443";

nlohmann::json routeTo(const std::string& aHost, int aPort, const std::string& aService)
{
  return { { "name", aHost + std::to_string(aPort) },
           { "hostname", aHost },
           { "prefix", "/" + std::to_string(aPort) + "/" },
           { "type", "safe" },
           { "priority", 1 },
           { "targetLatencyMs", 200 },
           { "service", aService } };
}

flow::Endpoint endpointOf(const char* aText)
{
  return flow::Endpoint::parse(aText).value();
}

std::uint64_t wallClockMs()
{
  return telemetry::wallClockMicroseconds() / 1000;
}

} // namespace

Fleet::Fleet(FleetSettings aSettings, net::MainLoop& aLoop, Observations& aObservations)
  : mSettings(std::move(aSettings))
  , mLoop(aLoop)
  , mObservations(aObservations)
  , mRandom(mSettings.mSeed)
  , mStore(std::make_unique<test::StoreServer>(flow::Endpoint{ addressOf(0, 1), Ports::kStore }))
{
  mObservations.allow(kLiveAddress, kLiveService);
  mObservations.allow(kSheetAddress, kSheetService);
  mObservations.allow(kSharedAddress, kLiveService);
  mObservations.allow(kSharedAddress, kSheetService);
  changeConfiguration();
  for (unsigned zone = 1; zone <= mSettings.mZones; ++zone) {
    const std::string name(1, static_cast<char>('a' + zone - 1));
    for (unsigned host = 1; host <= mSettings.mBalancersPerZone; ++host) {
      const std::string vm = "front-" + name + "-" + std::to_string(host);
      addVm(vm, addressOf(zone, host), "balancer", settingsOf(vm, addressOf(zone, host), name));
    }
    for (unsigned i = 0; i < mSettings.mUpstreamsPerZone; ++i) {
      addUpstreamVm(
        name, addressOf(zone, kFirstUpstreamHost + i), i % 3 == 2 ? kSheetService : kLiveService);
    }
  }
}

Fleet::~Fleet()
{
  for (GSocketConnection* connection : mSilentConnections) {
    g_object_unref(connection);
  }
}

flow::Ipv4Address Fleet::addressOf(unsigned aZone, unsigned aHost) const
{
  return { (127U << 24U) | (mSettings.mNetwork << 16U) | (aZone << 8U) | aHost };
}

nlohmann::json Fleet::settingsOf(const std::string& aName,
                                 flow::Ipv4Address aAddress,
                                 const std::string& aZone) const
{
  const auto at = [&](std::uint16_t aPort) { return flow::Endpoint{ aAddress, aPort }.toString(); };
  nlohmann::json settings = {
    { "nodeName", aName },
    { "zone", aZone },
    { "zones", nlohmann::json::object() },
    { "bindAddrs",
      { { "datagramAddr", at(Ports::kPacket) }, { "readiness", at(Ports::kReadiness) } } },
    { "internalPorts", { 7720, 7735 } },
    { "seeds", nlohmann::json::array() },
    { "heartbeatMs", std::chrono::duration_cast<std::chrono::milliseconds>(kHeartbeat).count() },
    { "platform", { { "address", flow::Endpoint{ addressOf(0, 1), Ports::kStore }.toString() } } },
    { "bounds", { { "maxFlowS", 60 }, { "graceS", 6 }, { "reuseAfterS", 2 } } }
  };
  for (unsigned zone = 1; zone <= mSettings.mZones; ++zone) {
    settings["zones"][std::string(1, static_cast<char>('a' + zone - 1))] = "r";
    if (zone <= kSeeds) {
      settings["seeds"].push_back(flow::Endpoint{ addressOf(zone, 1), 8166 }.toString());
    }
  }
  return settings;
}

Vm& Fleet::addVm(const std::string& aName,
                 flow::Ipv4Address aAddress,
                 const std::string& aRole,
                 nlohmann::json aSettings)
{
  mVms.push_back(std::make_unique<Vm>(aName,
                                      aAddress,
                                      aRole,
                                      std::move(aSettings),
                                      mSettings.mPrograms / "cornelcross-platform",
                                      mSettings.mLogs));
  if (aRole == "balancer") {
    mRotations[mVms.back().get()];
  }
  return *mVms.back();
}

Vm& Fleet::addUpstreamVm(const std::string& aZone,
                         flow::Ipv4Address aAddress,
                         const std::string& aService)
{
  const std::string name = "side-" + aZone + "-" + std::to_string(++mUpstreamVmCounts[aZone]);
  nlohmann::json settings = settingsOf(name, aAddress, aZone);
  settings["bindAddrs"]["outbound"] = flow::Endpoint{ aAddress, Ports::kOutbound }.toString();
  settings["service"] = aService;
  settings["app"] = flow::Endpoint{ aAddress, Ports::kUpstream }.toString();
  return addVm(name, aAddress, "agent", std::move(settings));
}

void Fleet::start()
{
  for (const auto& vm : mVms) {
    vm->powerOn();
    if (!vm->isBalancer()) {
      startUpstream(*vm);
    }
  }
  mLoop.every(kTickInterval, [this] { onTick(net::MainLoop::now()); });
  mLoop.every(kReadinessInterval, [this] { checkReadiness(); });
}

void Fleet::startCallers()
{
  for (unsigned zone = 1; zone <= mSettings.mZones; ++zone) {
    const std::string name(1, static_cast<char>('a' + zone - 1));
    CallerSettings settings;
    settings.mLocal = { addressOf(zone, kCallerHost), Ports::kPacket };
    settings.mAddresses = { endpointOf(kLiveAddress),
                            endpointOf(kSheetAddress),
                            endpointOf(kSharedAddress) };
    settings.mFlowsPerSecond = mSettings.mFlowsPerSecond;
    settings.mSeed = mSettings.mSeed + zone;
    mCallers.push_back(
      std::make_unique<Callers>(settings, mObservations, [this, name](const flow::FlowKey& aFlow) {
        return routeOf(name, aFlow);
      }));
  }
}

std::vector<Vm*> Fleet::vms(bool aAreBalancers) const
{
  std::vector<Vm*> found;
  for (const auto& vm : mVms) {
    if (vm->isOn() && vm->isBalancer() == aAreBalancers) {
      found.push_back(vm.get());
    }
  }
  return found;
}

std::string Fleet::otherService(const std::string& aService)
{
  return aService == kLiveService ? kSheetService : kLiveService;
}

void Fleet::startUpstream(Vm& aVm, const std::string& aId)
{
  const std::string id = aId.empty() ? "i-" + std::to_string(mRandom() % 1000000000) : aId;
  const UpstreamStart start{
    id, aVm.service(), wallClockMs(), aVm.endpoint(Ports::kUpstream), aVm.endpoint(Ports::kOutbound)
  };
  aVm.mUpstream = std::make_unique<Upstream>(start, mObservations, mRandom());
  Record record;
  record.mStart = start;
  record.mZone = aVm.zone();
  record.mNextWrite = net::MainLoop::now() + std::chrono::milliseconds(mRandom() % 500);
  mRecords[id] = record;
}

void Fleet::endUpstream(Vm& aVm, bool aIsPlanned)
{
  if (aVm.mUpstream == nullptr) {
    return;
  }
  Record& record = mRecords.at(aVm.mUpstream->start().mId);
  record.mIsAlive = false;
  if (aIsPlanned) {
    record.mLastWrite = base::Time(); // expires at once
  }
  aVm.mUpstream.reset();
}

void Fleet::silenceUpstream(Vm& aVm)
{
  if (aVm.mUpstream != nullptr) {
    const std::vector<GSocketConnection*> connections = aVm.mUpstream->takeConnections();
    mSilentConnections.insert(mSilentConnections.end(), connections.begin(), connections.end());
  }
  endUpstream(aVm, false);
}

void Fleet::drainUpstream(Vm& aVm)
{
  if (aVm.mUpstream != nullptr) {
    Record& record = mRecords.at(aVm.mUpstream->start().mId);
    record.mState = "draining";
    record.mNextWrite = net::MainLoop::now();
  }
}

void Fleet::setStoreDown(bool aIsDown, bool aDoRecordsExpire)
{
  if (aIsDown && mStore != nullptr) {
    mDoRecordsExpire = aDoRecordsExpire;
    mContentWhileDown = std::move(mStore->mContent);
    mStore.reset();
  } else if (!aIsDown && mStore == nullptr) {
    mStore = std::make_unique<test::StoreServer>(flow::Endpoint{ addressOf(0, 1), Ports::kStore });
    mStore->mContent = std::move(mContentWhileDown);
    const base::Time now = net::MainLoop::now();
    for (auto& [id, record] : mRecords) {
      record.mLastWrite = mDoRecordsExpire ? record.mLastWrite : now;
    }
  }
}

void Fleet::changeConfiguration()
{
  if (mStore == nullptr) {
    return;
  }
  mVersion += 1 + mRandom() % 3;
  auto routes = nlohmann::json::array({ routeTo("198.18.0.1", 8080, kLiveService),
                                        routeTo("198.18.0.2", 8443, kSheetService),
                                        routeTo("198.18.0.1", 8443, kLiveService) });
  routes[2].erase("service");
  routes[2]["trafficSplit"] = { { { "service", kLiveService }, { "weight", 90 } },
                                { { "service", kSheetService }, { "weight", 10 } } };
  for (unsigned i = 0; i < mRandom() % kMaxIdleRoutes; ++i) {
    routes.push_back(routeTo("198.18.3." + std::to_string(i + 1), 9000, kSheetService));
  }
  const auto timeoutMs = 1000 + mRandom() % 1000;
  for (auto& route : routes) {
    route["timeoutMs"] = timeoutMs;
  }
  mStore->mContent.putPermanent(
    "op/config",
    nlohmann::json{
      { "version", mVersion },
      { "routes", routes },
      { "services", { { { "name", kLiveService } }, { { "name", kSheetService } } } } }
      .dump());
}

std::size_t Fleet::resets() const
{
  std::size_t resets = 0;
  for (const auto& callers : mCallers) {
    resets += callers->resets();
  }
  return resets;
}

void Fleet::onTick(base::Time aNow)
{
  for (const auto& vm : mVms) {
    vm->onTick(aNow);
    // The program of a new VM fails to bind while that of the former VM still runs.
    if (vm->takeUnexplainedEnd() && !(vm->hasFailedToBind() && sharesAddress(*vm))) {
      mObservations.addViolation(aNow, "FAULT: the program of " + vm->name() + " ended by itself");
    }
  }
  updateRecords(aNow);
  for (const auto& callers : mCallers) {
    callers->onTick(aNow);
  }
}

bool Fleet::sharesAddress(const Vm& aVm) const
{
  return std::any_of(mVms.begin(), mVms.end(), [&](const auto& aOther) {
    return aOther.get() != &aVm && aOther->address() == aVm.address();
  });
}

void Fleet::updateRecords(base::Time aNow)
{
  if (mStore == nullptr) {
    return;
  }
  for (auto& [id, record] : mRecords) {
    if (record.mIsAlive && aNow >= record.mNextWrite) {
      writeRecord(aNow, id, record);
    } else if (record.mIsStored && aNow - record.mLastWrite > 3 * kHeartbeat) {
      mStore->mContent.remove("servers/" + id);
      record.mIsStored = false;
    }
  }
}

void Fleet::writeRecord(base::Time aNow, const std::string& aId, Record& aRecord)
{
  aRecord.mNextWrite = aNow + kHeartbeat;
  aRecord.mLastWrite = aNow;
  aRecord.mIsStored = true;
  mStore->mContent.put("servers/" + aId,
                       nlohmann::json{ { "service", aRecord.mStart.mService },
                                       { "address", aRecord.mStart.mAddress.toString() },
                                       { "zone", aRecord.mZone },
                                       { "version", "v1" },
                                       { "capacity", 4 },
                                       { "state", aRecord.mState },
                                       { "warmupLeftMs", 0 },
                                       { "sequence", ++aRecord.mSequence },
                                       { "born", aRecord.mStart.mStartedAtMs } }
                         .dump());
}

void Fleet::checkReadiness()
{
  for (auto& [vm, rotation] : mRotations) {
    rotation.mClient.get("http://" + vm->endpoint(Ports::kReadiness).toString() + "/-/ready",
                         kReadinessInterval - kTickInterval,
                         [&rotation = rotation](const net::HttpResult& aResult) {
                           const auto* response = std::get_if<net::HttpClientResponse>(&aResult);
                           const bool isReady =
                             response != nullptr && response->mStatus == SOUP_STATUS_OK;
                           rotation.mMisses = isReady ? 0 : rotation.mMisses + 1;
                         });
  }
}

std::optional<flow::Endpoint> Fleet::routeOf(const std::string& aZone,
                                             const flow::FlowKey& aFlow) const
{
  std::vector<const Vm*> ready;
  std::vector<const Vm*> ofZone;
  for (const auto& vm : mVms) {
    if (vm->isBalancer() && vm->zone() == aZone) {
      ofZone.push_back(vm.get());
      if (mRotations.at(vm.get()).mMisses < kMaxMisses) {
        ready.push_back(vm.get());
      }
    }
  }
  const auto& used = 2 * ready.size() < ofZone.size() ? ofZone : ready;
  return used[aFlow.hash() % used.size()]->endpoint(Ports::kPacket);
}

} // namespace cornelcross::soak
