#include "platform/store/store_fleet.hpp"

#include "platform/store/items.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cornelcross::test {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
using Kind = FleetEvent::Kind;
using Steps = unsigned;

constexpr std::size_t kProcesses = 5;
constexpr std::size_t kReaders = 2; ///< processes that read the store at a time
const std::vector<std::string> kServices{ "log", "cert" };
const std::vector<std::string> kAddresses{ "198.18.0.1:1", "198.18.0.1:2", "198.18.0.1:3" };
const std::vector<std::string> kZones{ "a", "b" };

constexpr Steps stepsOf(base::Duration aTime)
{
  return static_cast<Steps>(aTime / StoreFleet::kStep);
}

constexpr Steps kReadInterval = stepsOf(1s);
constexpr Steps kPullInterval = stepsOf(500ms);
constexpr Steps kHeartbeat = stepsOf(1s);
constexpr Steps kRecordLifetime = 3 * kHeartbeat;
constexpr Steps kReplyTime = stepsOf(1s);
constexpr Steps kDrainTime = stepsOf(3s);
constexpr Steps kReuseAfter = stepsOf(2s);

// The bounds of the rules, and the time for which all must have been calm before they count.
constexpr Steps kConfigBound = stepsOf(3s);
constexpr Steps kZoneBound = stepsOf(5s);
constexpr Steps kDrainBound = stepsOf(3s);

/// For a backend or zone that may serve again: two recoveries, since another reader starts its own.
constexpr Steps kUsedAgainBound = stepsOf(10s);

std::string makeFleetConfig(std::uint64_t aVersion,
                            const std::map<std::string, std::string>& aRoutes)
{
  Json routes = Json::array();
  for (const auto& [address, service] : aRoutes) {
    const std::size_t colon = address.find(':');
    routes.push_back({ { "hostname", address.substr(0, colon) },
                       { "prefix", "/" + address.substr(colon + 1) + "/" },
                       { "service", service } });
  }
  Json services = Json::array();
  for (const std::string& service : kServices) {
    services.push_back({ { "name", service } });
  }
  return Json{ { "version", aVersion }, { "routes", routes }, { "services", services } }.dump();
}

std::string zoneKey(const std::string& aZone)
{
  return "op/evacuate/" + aZone;
}

} // namespace

StoreFleet::StoreFleet() : mProcesses(kProcesses), mVersions(1), mVersionWritten(1)
{
  for (Process& process : mProcesses) {
    process.mProcess = std::make_unique<StoreProcess>(mNow);
  }
  for (const std::string& zone : kZones) {
    mZones[zone];
  }
  apply({ Kind::kChangeConfig, 1, 0 });
  apply({ Kind::kAddBackend, 0, 0 });
  apply({ Kind::kAddBackend, 1, 0 });
  mCopies.push_back(mStore);
}

bool StoreFleet::isRunning(const Process& aProcess) const
{
  return aProcess.mProcess != nullptr && mStepCount >= aProcess.mFrozenUntil;
}

bool StoreFleet::reachesStore(const Process& aProcess) const
{
  return isRunning(aProcess) && mStepCount >= aProcess.mCutFromStoreUntil;
}

// A process that starts does not serve before it has what its peers have, or gets no reply.
bool StoreFleet::isConfirmed(Process& aProcess) const
{
  const bool isAlone = mStepCount < aProcess.mCutFromPeersUntil;
  const std::uint64_t revision = aProcess.mProcess->revision();
  const bool isBehind =
    std::any_of(mProcesses.begin(), mProcesses.end(), [&](const Process& aPeer) {
      return isRunning(aPeer) && mStepCount >= aPeer.mCutFromPeersUntil &&
             aPeer.mProcess->revision() > revision;
    });
  const bool hasWaited = mStepCount >= aProcess.mStarted + kReplyTime;
  aProcess.mIsConfirmed =
    aProcess.mIsConfirmed || (revision > 0 && (isAlone ? hasWaited : !isBehind));
  return aProcess.mIsConfirmed;
}

bool StoreFleet::isInTouch(const Process& aProcess) const
{
  return reachesStore(aProcess) && mStepCount >= aProcess.mLastFault + kContact && isStoreCalm();
}

void StoreFleet::report(std::size_t aIndex, const std::string& aText)
{
  mViolations.push_back("step " + std::to_string(mStepCount) + ", process " +
                        std::to_string(aIndex) + ": " + aText);
}

void StoreFleet::addTo(Fingerprint& aFingerprint) const
{
  for (const Process& process : mProcesses) {
    aFingerprint.add(std::uint64_t{ isRunning(process) });
    if (!isRunning(process)) {
      continue;
    }
    aFingerprint.add(process.mProcess->revision());
    for (const std::string& address : kAddresses) {
      aFingerprint.add(process.mProcess->routedService(address));
    }
    for (const std::string& zone : kZones) {
      aFingerprint.add(std::uint64_t{ process.mProcess->isZoneInService(zone) });
    }
    for (const std::string& service : kServices) {
      for (const std::string& upstream : process.mProcess->upstreams(service)) {
        aFingerprint.add(upstream);
      }
    }
  }
}

void StoreFleet::step(const FleetEvent& aEvent)
{
  ++mStepCount;
  mNow += kStep;
  mReadEvent.reset();
  apply(aEvent);
  restoreStore();
  updateProcesses();
  if (!mPendingCopy) {
    write();
  }
  read();
  pull();
  mCopies.push_back(mStore);
  check();
}

void StoreFleet::restoreStore()
{
  if (!mPendingCopy) {
    return;
  }
  mLastStoreFault = mStepCount;
  if (mStepCount < mStoreDownUntil) {
    return;
  }
  mStore.restore(mCopies[*mPendingCopy]);
  mPendingCopy.reset();
  mIsConfigWritten = false;
  for (auto& [name, zone] : mZones) {
    zone.mIsWritten = false;
  }
}

void StoreFleet::updateProcesses()
{
  for (Process& process : mProcesses) {
    if (!process.mProcess && mStepCount >= process.mDownUntil) {
      process = {};
      process.mProcess = std::make_unique<StoreProcess>(mNow);
      process.mStarted = mStepCount;
      process.mLastFault = mStepCount;
    }
    const Steps disturbedUntil =
      std::max({ process.mFrozenUntil, process.mCutFromStoreUntil, process.mCutFromPeersUntil });
    process.mLastFault = std::max(process.mLastFault, std::min(disturbedUntil, mStepCount));
  }
}

void StoreFleet::apply(const FleetEvent& aEvent)
{
  Process& process = mProcesses[aEvent.mTarget % kProcesses];
  const Steps duration = 2 + aEvent.mAmount % 40;
  switch (aEvent.mKind) {
    case Kind::kChangeConfig:
      changeConfig(aEvent.mTarget);
      break;
    case Kind::kToggleZone: {
      ZoneOut& zone = mZones[kZones[aEvent.mTarget % kZones.size()]];
      zone.mIsOut = !zone.mIsOut;
      zone.mIsWritten = false;
      break;
    }
    case Kind::kAddBackend:
      addBackend(kServices[aEvent.mTarget % kServices.size()], aEvent.mAmount % 2 == 0);
      break;
    case Kind::kDrainBackend:
      mBackends[aEvent.mTarget % mBackends.size()].mIsDraining = true;
      break;
    case Kind::kCrashBackend: {
      Backend& backend = mBackends[aEvent.mTarget % mBackends.size()];
      backend.mEnded = backend.mEnded.value_or(mStepCount);
      break;
    }
    case Kind::kRestore:
      if (!mPendingCopy) {
        const std::size_t age = 4 + aEvent.mTarget % 40;
        mPendingCopy = mCopies.size() - std::min(mCopies.size(), age);
        mStoreDownUntil = mStepCount + 1 + aEvent.mAmount % 10;
      }
      break;
    case Kind::kKill:
      kill(process, duration / 4);
      break;
    case Kind::kKillAll:
      for (Process& each : mProcesses) {
        kill(each, duration / 4);
      }
      break;
    case Kind::kFreeze:
      process.mFrozenUntil = mStepCount + duration;
      break;
    case Kind::kCutFromStore:
      process.mCutFromStoreUntil = mStepCount + duration;
      break;
    case Kind::kCutFromPeers:
      process.mCutFromPeersUntil = mStepCount + duration;
      break;
    case Kind::kRead:
    case Kind::kLateResponse:
    case Kind::kCorruptHeader:
      mReadEvent = aEvent;
      break;
    case Kind::kNone:
      break;
  }
}

// Two bits of aRoutes select the service of each address, or that it has none.
void StoreFleet::changeConfig(unsigned aRoutes)
{
  Routes routes;
  for (std::size_t i = 0; i < kAddresses.size(); ++i) {
    const unsigned choice = (aRoutes >> (2 * i)) % 4;
    if (choice < kServices.size()) {
      routes[kAddresses[i]] = kServices[choice];
    }
  }
  mVersions.push_back(routes);
  mVersionWritten.push_back(0);
  mIsConfigWritten = false;
}

bool StoreFleet::isAddressUsed(const std::string& aAddress) const
{
  return std::any_of(mBackends.begin(), mBackends.end(), [&](const Backend& aBackend) {
    return aBackend.mAddress == aAddress &&
           (!aBackend.mEnded || mStepCount < *aBackend.mEnded + kReuseAfter);
  });
}

void StoreFleet::addBackend(const std::string& aService, bool aMayReuseAddress)
{
  Backend backend;
  backend.mId = "i" + std::to_string(mBackends.size());
  backend.mAddress = "10.0.0." + std::to_string(1 + mBackends.size()) + ":80";
  backend.mService = aService;
  for (const Backend& other : mBackends) {
    if (aMayReuseAddress && !isAddressUsed(other.mAddress)) {
      backend.mAddress = other.mAddress;
    }
  }
  backend.mStartedAtMs = 1000 + mStepCount * kStep / 1ms;
  mBackends.push_back(backend);
}

void StoreFleet::kill(Process& aProcess, Steps aDuration)
{
  aProcess.mProcess.reset();
  aProcess.mLateContent.reset();
  aProcess.mDownUntil = mStepCount + aDuration;
}

// Operators write at once what the store lacks, backends with their next heartbeat.
void StoreFleet::write()
{
  if (!mIsConfigWritten) {
    const std::size_t version = mVersions.size() - 1;
    mStore.put("op/config", makeFleetConfig(version, mVersions.back()));
    for (std::size_t i = 1; i <= version; ++i) {
      mVersionWritten[i] = mVersionWritten[i] == 0 ? mStepCount : mVersionWritten[i];
    }
    mIsConfigWritten = true;
  }
  for (auto& [name, zone] : mZones) {
    if (zone.mIsWritten) {
      continue;
    }
    if (zone.mIsOut) {
      mStore.put(zoneKey(name), "{}");
    } else if (mStore.value(zoneKey(name))) {
      mStore.remove(zoneKey(name));
    }
    zone.mIsWritten = true;
    zone.mWritten = mStepCount;
  }
  for (Backend& backend : mBackends) {
    writeBackend(backend);
  }
}

void StoreFleet::writeBackend(Backend& aBackend)
{
  const std::string key = "servers/" + aBackend.mId;
  if (aBackend.mDrained && mStepCount >= *aBackend.mDrained + kDrainTime && !aBackend.mEnded) {
    aBackend.mEnded = mStepCount;
    mStore.remove(key);
  }
  if (aBackend.mEnded) {
    const Steps silentSince = std::max(aBackend.mLastHeartbeat, mLastStoreFault);
    if (mStore.value(key) && mStepCount >= silentSince + kRecordLifetime) {
      mStore.remove(key);
    }
    return;
  }
  const bool isDue = mStepCount >= aBackend.mLastHeartbeat + kHeartbeat;
  const bool hasNews = aBackend.mIsDraining && !aBackend.mDrained;
  if (!isDue && !hasNews && aBackend.mRegistered != 0) {
    return;
  }
  aBackend.mLastHeartbeat = mStepCount;
  const std::string record = makeBackend(aBackend.mService,
                                         aBackend.mAddress,
                                         aBackend.mIsDraining ? "draining" : "ready",
                                         aBackend.mStartedAtMs);
  if (mStore.value(key) != record) {
    mStore.put(key, record);
  }
  aBackend.mRegistered = aBackend.mRegistered == 0 ? mStepCount : aBackend.mRegistered;
  if (aBackend.mIsDraining && !aBackend.mDrained) {
    aBackend.mDrained = mStepCount;
    aBackend.mIsDrainCalm = isStoreCalm();
  }
}

// The bound on drains holds for those that the store accepts while it is calm.
StoreFleet::Steps StoreFleet::boundFrom(Steps aAcknowledged, bool aIsCalm) const
{
  return aIsCalm ? aAcknowledged + kDrainBound
                 : std::max(aAcknowledged, mLastStoreFault) + kUsedAgainBound;
}

void StoreFleet::read()
{
  const auto respond = [this](const std::string& aPath) -> net::HttpResult {
    if (mPendingCopy) {
      return net::HttpFailure{ "connection refused" };
    }
    return mStore.respond(aPath);
  };
  std::size_t readers = 0;
  for (std::size_t i = 0; i < kProcesses; ++i) {
    Process& process = mProcesses[i];
    if (!reachesStore(process)) {
      continue;
    }
    const bool isAlone = mStepCount < process.mCutFromPeersUntil;
    const bool isReader = isAlone || process.mProcess->mIsProvisional || readers++ < kReaders;
    const bool isDue = (mStepCount + i) % kReadInterval == 0;
    if (process.mLateContent) {
      finishLateRead(process);
    } else if (isReader && isDue) {
      process.mProcess->read(respond, 3);
    } else if (process.mProcess->revision() == 0) {
      process.mProcess->read(respond);
    }
    const bool isTarget = mReadEvent && mReadEvent->mTarget % kProcesses == i;
    if (isTarget && !mPendingCopy && !process.mLateContent) {
      applyReadEvent(process);
    }
  }
}

void StoreFleet::applyReadEvent(Process& aProcess)
{
  const auto respond = [this](const std::string& aPath) { return mStore.respond(aPath); };
  if (mReadEvent->mKind == Kind::kRead) {
    aProcess.mProcess->read(respond);
    return;
  }
  if (mReadEvent->mKind == Kind::kLateResponse) {
    aProcess.mProcess->startRead();
    aProcess.mLateContent = mStore;
    aProcess.mLateUntil = mStepCount + 1 + mReadEvent->mAmount % stepsOf(1500ms);
    return;
  }
  StoreContent corrupt = mStore;
  const std::vector<std::optional<std::string>> headers{ "0", "1", "9000", "x", std::nullopt };
  corrupt.mEraHeader = headers[mReadEvent->mAmount % headers.size()];
  bool isFirst = true;
  aProcess.mProcess->read([&](const std::string& aPath) {
    return std::exchange(isFirst, false) ? corrupt.respond(aPath) : respond(aPath);
  });
}

void StoreFleet::finishLateRead(Process& aProcess)
{
  if (mStepCount < aProcess.mLateUntil) {
    return;
  }
  const bool hasTimedOut = mStepCount > aProcess.mLateUntil;
  aProcess.mProcess->finishRead([&](const std::string& aPath) -> net::HttpResult {
    return hasTimedOut ? net::HttpResult{ net::HttpFailure{ "timeout" } }
                       : net::HttpResult{ aProcess.mLateContent->respond(aPath) };
  });
  aProcess.mLateContent.reset();
}

void StoreFleet::pull()
{
  for (std::size_t i = 0; i < kProcesses; ++i) {
    const bool isDue = (mStepCount + i) % kPullInterval == 0;
    if (!isDue || !isRunning(mProcesses[i]) || mStepCount < mProcesses[i].mCutFromPeersUntil) {
      continue;
    }
    for (const Process& peer : mProcesses) {
      if (isRunning(peer) && mStepCount >= peer.mCutFromPeersUntil) {
        mProcesses[i].mProcess->pullFrom(*peer.mProcess);
      }
    }
  }
}

void StoreFleet::check()
{
  for (std::size_t i = 0; i < kProcesses; ++i) {
    if (isRunning(mProcesses[i])) {
      checkRoutes(i);
      checkZones(i);
      checkBackends(i);
    }
  }
}

// A request shows only how its address is routed, so each address has a lowest version of its own.
void StoreFleet::checkRoutes(std::size_t aIndex)
{
  Process& process = mProcesses[aIndex];
  std::uint64_t required = 0;
  for (std::size_t version = 1; isInTouch(process) && version < mVersions.size(); ++version) {
    const Steps written = mVersionWritten[version];
    required = written > 0 && mStepCount > written + kConfigBound ? version : required;
  }
  if (!isConfirmed(process)) {
    return;
  }
  for (const std::string& address : kAddresses) {
    const std::string service = process.mProcess->routedService(address);
    std::uint64_t& lowest = process.mLowestVersion[address];
    const auto matches = [&](std::uint64_t aVersion) {
      const auto route = mVersions[aVersion].find(address);
      return service == (route == mVersions[aVersion].end() ? "" : route->second);
    };
    const auto lowestFrom = [&](std::uint64_t aVersion) {
      while (aVersion < mVersions.size() && !matches(aVersion)) {
        ++aVersion;
      }
      return aVersion;
    };
    if (lowestFrom(lowest) == mVersions.size()) {
      report(aIndex, address + " went back from version " + std::to_string(lowest));
      continue;
    }
    lowest = lowestFrom(lowest);
    if (lowestFrom(std::max(lowest, required)) == mVersions.size()) {
      report(aIndex, address + " is older than version " + std::to_string(required));
    }
  }
}

void StoreFleet::checkZones(std::size_t aIndex)
{
  const Process& process = mProcesses[aIndex];
  for (const auto& [name, zone] : mZones) {
    const Steps bound = zone.mIsOut ? kZoneBound : kUsedAgainBound;
    const bool isSettled = zone.mIsWritten && mStepCount > zone.mWritten + bound;
    if (isSettled && isInTouch(process) && process.mProcess->isZoneInService(name) == zone.mIsOut) {
      report(aIndex, "zone " + name + (zone.mIsOut ? " is in service" : " is out of service"));
    }
  }
}

void StoreFleet::checkBackends(std::size_t aIndex)
{
  const Process& process = mProcesses[aIndex];
  if (!isInTouch(process)) {
    return;
  }
  for (const Backend& backend : mBackends) {
    const bool isServing =
      process.mProcess->upstreams(backend.mService).contains(backend.mId + " serving");
    const bool hasDrained =
      backend.mDrained && mStepCount > boundFrom(*backend.mDrained, backend.mIsDrainCalm);
    // No request reaches a backend that has crashed.
    if (isServing && hasDrained && !backend.mEnded) {
      report(aIndex, backend.mId + " serves");
    }
    const bool mustServe =
      !backend.mEnded && !backend.mIsDraining && backend.mRegistered != 0 &&
      mStepCount > std::max(backend.mRegistered, mLastStoreFault) + kUsedAgainBound;
    if (mustServe && !isServing) {
      report(aIndex, backend.mId + " does not serve");
    }
  }
}

} // namespace cornelcross::test
