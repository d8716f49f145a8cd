#include "deployment.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

namespace {

constexpr unsigned kZones = 3;
constexpr double kRestartDelay = 0.3;
constexpr double kReadinessInterval = 0.5;
constexpr int kMaxMisses = 2;
constexpr unsigned kFirstSide = 50;
constexpr unsigned kClients = 250;

std::string zoneName(unsigned aZone)
{
  static const std::vector<std::string> names{ "debre-markos", "bahir-dar", "gondar" };
  return names.at(aZone - 1);
}

std::string quote(const std::string& aText)
{
  return '"' + aText + '"';
}

} // namespace

Deployment::Deployment(std::string aRepository, std::string aFolder, Record& aRecord)
  : mRepository(std::move(aRepository)), mFolder(std::move(aFolder)), mRecord(aRecord)
{
  // Runs side by side use different networks.
  const auto first = static_cast<unsigned>(getpid()) % 100U + 100U;
  for (unsigned i = 0; i < 50 && !mStore; ++i) {
    mNetwork = first + i;
    try {
      mStore = std::make_unique<Store>(address(0, 1));
    } catch (const std::runtime_error&) {
      continue;
    }
  }
  if (!mStore) {
    throw std::runtime_error("no free loopback network");
  }
  addMachine("balancer", 1, 1, "");
  addMachine("balancer", 1, 2, "");
  addMachine("balancer", 2, 1, "");
  addMachine("balancer", 3, 1, "");
  for (unsigned i = 0; i < 7; ++i) {
    addMachine("agent", i % kZones + 1, kFirstSide + i, kSessions);
  }
  for (unsigned i = 7; i < 10; ++i) {
    addMachine("agent", i % kZones + 1, kFirstSide + i, kSheets);
  }
}

Deployment::~Deployment()
{
  for (Machine& machine : mMachines) {
    if (machine.mPid > 0) {
      kill(machine.mPid, SIGKILL);
      waitpid(machine.mPid, nullptr, 0);
    }
  }
}

std::uint32_t Deployment::address(unsigned aZone, unsigned aHost) const
{
  return (127U << 24U) | (mNetwork << 16U) | (aZone << 8U) | aHost;
}

void Deployment::addMachine(const std::string& aRole,
                            unsigned aZone,
                            unsigned aHost,
                            std::string aService)
{
  Machine machine;
  machine.mRole = aRole;
  machine.mZone = zoneName(aZone);
  machine.mAddress = address(aZone, aHost);
  machine.mService = std::move(aService);
  machine.mName =
    (aRole == "agent" ? "side-" : "frontend-") + machine.mZone + "-" + std::to_string(aHost);
  mMachines.push_back(machine);
  if (aRole == "agent") {
    mSides.push_back(&mMachines.back());
  }
}

// A reader never sees half of the file.
void Deployment::writeSettings(const Machine& aMachine) const
{
  const auto at = [&](std::uint16_t aPort) { return quote(textOf(aMachine.mAddress, aPort)); };
  const bool isSide = aMachine.mRole == "agent";
  const std::string path = mFolder + "/" + aMachine.mName + ".json";
  std::ofstream file(path + ".next");
  file << R"({"nodeName":)" << quote(aMachine.mName) << R"(,"role":)" << quote(aMachine.mRole)
       << R"(,"machineClass":)" << quote(isSide ? "side" : "frontend") << R"(,"serves":)"
       << (isSide ? R"(["side"])" : R"(["frontend","control"])") << R"(,"ip":)"
       << quote(textOf(aMachine.mAddress)) << R"(,"zone":)" << quote(aMachine.mZone)
       << R"(,"region":"amhara-highlands","zones":{"debre-markos":"amhara-highlands",)"
       << R"("bahir-dar":"amhara-highlands","gondar":"amhara-highlands"},"bindAddrs":{)"
       << R"("datagramAddr":)" << at(Ports::kPacket) << R"(,"readiness":)" << at(Ports::kReadiness);
  if (isSide) {
    file << R"(,"outbound":)" << at(Ports::kOutbound);
  } else {
    file << R"(,"control":)" << at(Ports::kControl);
  }
  file << R"(},"internalPorts":[7720,7735],"seeds":[)";
  for (unsigned zone = 1; zone <= kZones; ++zone) {
    file << (zone > 1 ? "," : "") << quote(textOf(address(zone, 1), Ports::kControl));
  }
  file << R"(],"bootstrap":)" << (now() < 1 ? "true" : "false")
       << R"(,"lossCounts":false,"limits":{"cpuShare":0.15,"cores":1,"memoryMb":260,)"
       << R"("maxFds":4100,"linkMbps":1000.0,"diskMb":0},"dataDir":null,)"
       << R"("discovery":"platform","entry":"announce","heartbeatMs":1200,"contracts":["base",)"
       << R"("drain","config","cost","recover","flows","places","platform"],"faultTolerance":{)"
       << R"("machines":2,"zones":1,"regions":0},"bounds":{"seedLagS":3,"reuseAfterS":2,)"
       << R"("contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":3000,"graceS":)" << mGrace
       << R"(,"lossSlackMs":200,"configApplyMs":3000,"backMs":250,"outerMs":12000,)"
       << R"("warmupFactor":1.5,"warmupSlack":5,"evacuateMs":5000,"recoveryS":12,"flowMs":2000,)"
       << R"("maxFlowS":60},"hash":"mod","deploymentMode":"agent")";
  if (isSide) {
    file << R"(,"app":)" << at(Ports::kBackend) << R"(,"service":)" << quote(aMachine.mService);
  }
  file << R"(,"platform":{"address":)" << quote(textOf(address(0, 1), Ports::kStore))
       << R"(,"deploymentMode":"read","writesPerS":400,"readsPerS":2000,"historyS":20,)"
       << R"("valueBytes":1048576,"ttlMinMs":1000}})" << '\n';
  file.close();
  if (std::rename((path + ".next").c_str(), path.c_str()) != 0) {
    throw std::runtime_error("cannot write " + path);
  }
}

void Deployment::spawn(Machine& aMachine)
{
  const std::string settings = "CORNELCROSS_BOOT=" + mFolder + "/" + aMachine.mName + ".json";
  const std::string log = mFolder + "/" + aMachine.mName + ".log";
  const pid_t pid = fork();
  if (pid < 0) {
    throw std::runtime_error("cannot start a process");
  }
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the script
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    if (chdir(mRepository.c_str()) != 0) {
      _exit(126);
    }
    std::string program = "target/cornelcross-platform";
    std::string role = aMachine.mRole;
    std::string environment = settings;
    std::vector<char*> arguments{ program.data(), role.data(), nullptr };
    std::vector<char*> variables{ environment.data(), nullptr };
    execve(program.c_str(), arguments.data(), variables.data());
    _exit(127);
  }
  aMachine.mPid = pid;
  aMachine.mRestartAt = 0;
  aMachine.mIsSignalled = false;
}

void Deployment::start()
{
  writeConfiguration();
  for (Machine& machine : mMachines) {
    writeSettings(machine);
    spawn(machine);
  }
  for (Machine* machine : mSides) {
    startBackend(*machine);
  }
}

void Deployment::startClients(double aFlowsPerSecond, std::vector<Route> aRoutes)
{
  for (unsigned zone = 1; zone <= kZones; ++zone) {
    const std::string name = zoneName(zone);
    ClientHooks hooks;
    hooks.mRouter = [this, name](const FlowKey& aKey) { return routeOf(name, aKey); };
    hooks.mOnRequest = [this](const Route& aRoute, const FlowKey& aKey) {
      std::string id = "q" + std::to_string(mRequests.size() + 1);
      mRequests[id] = { now(), &aRoute, aKey, 0, false };
      mRecord.line("sent " + id + " to " + textOf(aRoute.mHost, aRoute.mPort) + " from port " +
                   std::to_string(std::get<1>(aKey)));
      return id;
    };
    hooks.mOnAnswer = [this](const std::string& aId, const std::string& aResponse) {
      onAnswer(aId, aResponse);
    };
    hooks.mOnReset = [this](const FlowKey& aKey, bool aIsOpen, bool aIsSystems) {
      mResetsOfOpenFlows += aIsOpen && aIsSystems ? 1 : 0;
      mRecord.line(std::string("reset ") + (aIsOpen ? "of an open flow" : "of an attempt") +
                   (aIsSystems ? " by the system" : " by a backend") + ", port " +
                   std::to_string(std::get<1>(aKey)));
    };
    hooks.mOnForged = [this](const std::string& aReason) { violation("MIXED: " + aReason); };
    mClients.push_back(std::make_unique<Clients>(
      address(zone, kClients), aRoutes, aFlowsPerSecond, zone + 1, std::move(hooks)));
  }
  mRoutes = std::move(aRoutes);
}

std::optional<std::uint32_t> Deployment::routeOf(const std::string& aZone,
                                                 const FlowKey& aKey) const
{
  std::vector<std::uint32_t> ready;
  std::vector<std::uint32_t> all;
  for (const Machine& machine : mMachines) {
    if (machine.mRole == "balancer" && machine.mZone == aZone) {
      all.push_back(machine.mAddress);
      if (machine.mMisses < kMaxMisses) {
        ready.push_back(machine.mAddress);
      }
    }
  }
  const auto& used = 2 * ready.size() < all.size() ? all : ready;
  const std::size_t hash = std::get<1>(aKey) * 31U + std::get<2>(aKey) * 7U + std::get<3>(aKey);
  return used.empty() ? std::nullopt : std::optional(used[hash % used.size()]);
}

std::string Deployment::otherService(const std::string& aService)
{
  return aService == kSessions ? kSheets : kSessions;
}

Backend* Deployment::backendOf(const Machine& aMachine)
{
  const auto found = mBackends.find(&aMachine);
  return found == mBackends.end() ? nullptr : found->second.get();
}

void Deployment::startBackend(Machine& aMachine)
{
  const BackendStart start{ "i-" + std::to_string(++mBackendCount) + "a91c",
                            aMachine.mService,
                            aMachine.mZone,
                            aMachine.mAddress,
                            wallClockMs() };
  BackendHooks hooks;
  hooks.mOnOpening = [this](const BackendStart& aStart, const Packet& aPacket) {
    const FlowKey key{
      aPacket.mSource, aPacket.mSourcePort, aPacket.mDestination, aPacket.mDestinationPort
    };
    double sentAt = now();
    for (const auto& clients : mClients) {
      sentAt = clients->openedAt(key).value_or(sentAt);
    }
    if (mOpeningCheck) {
      mOpeningCheck(aStart, key, sentAt);
    }
  };
  hooks.mOnRun = [this](const BackendStart& aStart,
                        const Packet& aPacket,
                        const std::string& aRequestId) { onRun(aStart, aPacket, aRequestId); };
  hooks.mOnForged = [this](const BackendStart& aStart, const std::string& aReason) {
    violation("UNASKED: " + aReason + " at " + aStart.mId);
  };
  mBackends[&aMachine] = std::make_unique<Backend>(start, hooks);
  mRegistrations[start.mId] = { "ready", now(), 0 };
  mRecord.line("backend " + start.mId + " of " + start.mService + " starts at " +
               textOf(start.mAddress, Ports::kBackend));
}

void Deployment::endBackend(Machine& aMachine, bool aFallsSilent)
{
  Backend* backend = backendOf(aMachine);
  if (backend->isDraining()) {
    mStore->remove("servers/" + backend->start().mId);
  }
  mRegistrations.erase(backend->start().mId);
  mRecord.line("backend " + backend->start().mId + " of " + backend->start().mService +
               (aFallsSilent ? " falls silent" : " ends"));
  if (aFallsSilent) {
    mSilentConnections.merge(backend->fallSilent());
  }
  mBackends.erase(&aMachine);
}

double Deployment::drain(Machine& aMachine)
{
  Backend* backend = backendOf(aMachine);
  backend->drain();
  Registration& registration = mRegistrations.at(backend->start().mId);
  registration.mState = "draining";
  registration.mNextWrite = now();
  writeRegistrations();
  mRecord.line("the store has accepted that " + backend->start().mId + " is draining");
  return now();
}

void Deployment::changeService(Machine& aMachine, const std::string& aService)
{
  aMachine.mService = aService;
  writeSettings(aMachine);
  mRecord.line("the settings of " + aMachine.mName + " name the service " + aService);
}

void Deployment::changeGrace(const std::string& aGrace)
{
  mGrace = aGrace;
  for (const Machine& machine : mMachines) {
    writeSettings(machine);
  }
  mRecord.line("the settings of all machines have graceS " + aGrace);
}

void Deployment::signal(Machine& aMachine, int aSignal)
{
  if (aMachine.mPid > 0) {
    aMachine.mIsSignalled = aMachine.mIsSignalled || aSignal == SIGTERM || aSignal == SIGKILL;
    kill(aMachine.mPid, aSignal);
  }
}

void Deployment::writeConfiguration()
{
  const auto route = [](const std::string& aHost,
                        int aPort,
                        const std::string& aType,
                        int aDeadlineMs,
                        const std::string& aTarget) {
    return R"({"name":"r-)" + std::to_string(aPort) + aHost + R"(","hostname":")" + aHost +
           R"(","prefix":"/)" + std::to_string(aPort) + R"(/","type":")" + aType +
           R"(","timeoutMs":)" + std::to_string(aDeadlineMs) +
           R"(,"targetLatencyMs":150,"priority":1,"maxAttempts":2,)" + aTarget + "}";
  };
  const std::string sessions = kSessions;
  const std::string sheets = kSheets;
  const auto service = [](const std::string& aName) {
    return R"({"name":")" + aName +
           R"(","healthCheckPath":"/health","maxConnections":2000,"protocol":"h1","tls":false,)"
           R"("warmupS":2.0,"warmupPerS":0.0})";
  };
  mStore->put(
    "op/config",
    R"({"version":7,"routes":[)" +
      route(textOf(kFirstHost), 8080, "unsafe", 1000, R"("service":")" + sessions + '"') + "," +
      route(textOf(kSecondHost), 8443, "download", 3000, R"("service":")" + sheets + '"') + "," +
      route(textOf(kFirstHost),
            8443,
            "safe",
            800,
            R"("trafficSplit":[{"service":")" + sessions + R"(","weight":90},{"service":")" +
              sheets + R"(","weight":10}])") +
      R"(],"services":[)" + service(sessions) + "," + service(sheets) +
      R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
      R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})",
    0);
}

void Deployment::writeRegistrations()
{
  for (const auto& [machine, backend] : mBackends) {
    const BackendStart& start = backend->start();
    const auto found = mRegistrations.find(start.mId);
    if (found == mRegistrations.end() || now() < found->second.mNextWrite) {
      continue;
    }
    Registration& registration = found->second;
    registration.mNextWrite = now() + kHeartbeat;
    mStore->put("servers/" + start.mId,
                R"({"service":")" + start.mService + R"(","address":")" +
                  textOf(start.mAddress, Ports::kBackend) + R"(","zone":")" + start.mZone +
                  R"(","version":"v1","capacity":4,"state":")" + registration.mState +
                  R"(","warmupLeftMs":0,"sequence":)" + std::to_string(++registration.mSequence) +
                  R"(,"born":)" + std::to_string(start.mBorn) + "}",
                kLifetime);
  }
}

void Deployment::onRun(const BackendStart& aStart,
                       const Packet& aPacket,
                       const std::string& aRequestId)
{
  const std::string at = textOf(aPacket.mDestination, aPacket.mDestinationPort);
  mRecord.line("run " + aRequestId + " at " + aStart.mId + " of " + aStart.mService);
  const auto found = mRequests.find(aRequestId);
  if (found == mRequests.end()) {
    violation("UNASKED: " + aStart.mId + " ran a request that no client sent");
    return;
  }
  if (++found->second.mRuns > 1) {
    violation("UNASKED: " + aRequestId + " ran twice");
  }
  const bool isAllowed = aPacket.mDestination == kSecondHost
                           ? aStart.mService == kSheets
                           : aPacket.mDestinationPort == 8443 || aStart.mService == kSessions;
  if (!isAllowed) {
    violation("ROUTE: " + aRequestId + " to " + at + " ran at " + aStart.mId + " of " +
              aStart.mService);
  }
}

void Deployment::onAnswer(const std::string& aId, const std::string& aResponse)
{
  mRecord.line("answered " + aId);
  const auto found = mRequests.find(aId);
  if (found == mRequests.end() || !aResponse.ends_with("\r\n\r\n" + aId)) {
    violation("MIXED: the answer to " + aId + " belongs to another request");
    return;
  }
  found->second.mIsAnswered = true;
}

double Deployment::servedShare(double aFrom, double aTo) const
{
  std::size_t sent = 0;
  std::size_t answered = 0;
  for (const auto& [id, request] : mRequests) {
    if (request.mSentAt >= aFrom && request.mSentAt < aTo) {
      ++sent;
      answered += request.mIsAnswered ? 1 : 0;
    }
  }
  return sent == 0 ? 0 : static_cast<double>(answered) / static_cast<double>(sent);
}

void Deployment::violation(const std::string& aText)
{
  mRecord.line("BROKEN " + aText);
  mViolations.push_back(aText);
}

void Deployment::watchProcesses()
{
  for (Machine& machine : mMachines) {
    int status = 0;
    if (machine.mPid > 0 && waitpid(machine.mPid, &status, WNOHANG) == machine.mPid) {
      machine.mPid = 0;
      machine.mRestartAt = now() + kRestartDelay;
      if (!machine.mIsSignalled) {
        ++machine.mOwnEnds;
        machine.mLastStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      mRecord.line("the process of " + machine.mName + " ended" +
                   (machine.mIsSignalled
                      ? std::string()
                      : " by itself, status " + std::to_string(machine.mLastStatus)));
    }
    if (machine.mPid == 0 && machine.mRestartAt > 0 && now() >= machine.mRestartAt) {
      spawn(machine);
    }
  }
}

void Deployment::checkReadiness()
{
  for (Machine& machine : mMachines) {
    if (machine.mCheck >= 0) {
      std::vector<char> buffer(1024);
      const ssize_t size = recv(machine.mCheck, buffer.data(), buffer.size(), 0);
      const bool isTimeOver = now() - machine.mCheckedAt > kReadinessInterval - 0.05;
      if (size <= 0 && errno == EAGAIN && !isTimeOver) {
        continue;
      }
      const std::string answer(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
      machine.mMisses = answer.starts_with("HTTP/1.1 200") ? 0 : machine.mMisses + 1;
      close(machine.mCheck);
      machine.mCheck = -1;
    }
  }
  if (now() < mNextReadiness) {
    return;
  }
  mNextReadiness = now() + kReadinessInterval;
  for (Machine& machine : mMachines) {
    if (machine.mRole != "balancer" || machine.mCheck >= 0) {
      continue;
    }
    // A connection on the loopback device is open or refused at once.
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = socketAddress(machine.mAddress, Ports::kReadiness);
    const std::string request = "GET /-/ready HTTP/1.1\r\nHost: " + textOf(machine.mAddress) +
                                "\r\nConnection: close\r\n\r\n";
    const bool isOpen = connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0 &&
                        send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0;
    if (!isOpen) {
      close(fd);
      ++machine.mMisses;
      continue;
    }
    if (fcntl(fd, F_SETFL, O_NONBLOCK) == 0) {
      machine.mCheck = fd;
      machine.mCheckedAt = now();
    }
  }
}

void Deployment::poll()
{
  constexpr int kTickMs = 4;
  std::vector<pollfd> fds;
  mStore->addTo(fds);
  const std::size_t ofStore = fds.size();
  for (const auto& [machine, backend] : mBackends) {
    backend->addTo(fds);
  }
  for (const auto& clients : mClients) {
    clients->addTo(fds);
  }
  if (::poll(fds.data(), fds.size(), kTickMs) <= 0) {
    return;
  }
  for (std::size_t i = 0; i < fds.size(); ++i) {
    if (fds[i].revents == 0) {
      continue;
    }
    if (i < ofStore) {
      mStore->onReadable(fds[i].fd);
      continue;
    }
    for (const auto& [machine, backend] : mBackends) {
      backend->onReadable(fds[i].fd);
    }
    for (const auto& clients : mClients) {
      clients->onReadable(fds[i].fd);
    }
  }
}

void Deployment::runUntil(double aTime)
{
  while (now() < aTime) {
    poll();
    mStore->onTick();
    writeRegistrations();
    for (const auto& [machine, backend] : mBackends) {
      backend->onTick();
    }
    for (const auto& clients : mClients) {
      clients->onTick();
    }
    watchProcesses();
    checkReadiness();
  }
}

} // namespace review
