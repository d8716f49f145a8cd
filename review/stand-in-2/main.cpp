#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>

namespace {

using namespace review;

constexpr double kFirstTrouble = 14;
constexpr double kTrafficStart = 10;

/// Flows that clients of each zone open in a second.
constexpr double kFlowsPerSecond = 20;

std::vector<Route> routes()
{
  return { { kFirstHost, 8080, false, 4, 1.0 },
           { kSecondHost, 8443, true, 1, 3.0 },
           { kFirstHost, 8443, true, 4, 0.8 } };
}

void begin(Deployment& aDeployment)
{
  aDeployment.start();
  aDeployment.runUntil(kTrafficStart);
  aDeployment.startClients(kFlowsPerSecond, routes());
}

/// Eight times, a backend falls silent for good, and after reuseAfterS its address goes to a
/// backend of the other service, on the same machine. TROUBLE=crash closes its connections instead.
void reuseAddress(Deployment& aDeployment, const std::string& aTrouble)
{
  constexpr double kReuseAfter = 2.0;
  constexpr double kInterval = 7.7; // settings are read every 2 s: all phases occur
  begin(aDeployment);
  double time = kFirstTrouble;
  for (const std::size_t index : { 0, 7, 2, 8, 4, 9, 6, 0 }) {
    aDeployment.runUntil(time);
    if (aTrouble != "0") {
      Machine& machine = aDeployment.side(index);
      aDeployment.endBackend(machine, aTrouble == "1");
      aDeployment.runUntil(time + kReuseAfter + 0.05);
      aDeployment.changeService(machine, Deployment::otherService(machine.mService));
      aDeployment.startBackend(machine);
    }
    time += kInterval;
  }
  aDeployment.runUntil(time);
}

/// Eight times, a backend crashes for good, its agent is killed and started again, and after
/// reuseAfterS the address goes to a backend of the other service, on the same machine.
/// TROUBLE=reuse leaves out the kill.
void restartAgent(Deployment& aDeployment, const std::string& aTrouble)
{
  constexpr double kKillAfter = 1.6;
  constexpr double kReuseAfter = 2.05;
  constexpr double kInterval = 8.0;
  begin(aDeployment);
  double time = kFirstTrouble;
  for (const std::size_t index : { 0, 7, 2, 8, 4, 9, 6, 0 }) {
    aDeployment.runUntil(time);
    if (aTrouble != "0") {
      Machine& machine = aDeployment.side(index);
      aDeployment.endBackend(machine, false);
      aDeployment.runUntil(time + kKillAfter);
      if (aTrouble != "reuse") {
        Deployment::signal(machine, SIGKILL);
      }
      aDeployment.runUntil(time + kReuseAfter);
      aDeployment.changeService(machine, Deployment::otherService(machine.mService));
      aDeployment.startBackend(machine);
    }
    time += kInterval;
  }
  aDeployment.runUntil(time);
}

/// An entry of another writer that lacks fields has the address of a backend that drains later.
void foreignEntry(Deployment& aDeployment, const std::string& aTrouble)
{
  constexpr double kDrain = 3.0;
  constexpr double kServesOn = 5.0; // a backend exits a little, at times many seconds, later
  begin(aDeployment);
  std::map<std::string, double> acknowledged; // by the id of the backend
  std::set<FlowKey> late;
  aDeployment.onOpening([&](const BackendStart& aStart, const FlowKey& aKey, double aSentAt) {
    const auto found = acknowledged.find(aStart.mId);
    if (found != acknowledged.end() && now() > found->second + kDrain) {
      late.insert(aKey);
      aDeployment.violation("DRAIN: a flow, sent at " + std::to_string(aSentAt) + ", opens at " +
                            aStart.mId + " " + std::to_string(now() - found->second) +
                            " s after the acknowledgement");
    }
  });
  aDeployment.runUntil(kFirstTrouble);
  Machine& machine = aDeployment.side(1);
  const BackendStart start = aDeployment.backendOf(machine)->start();
  double nextWrite = now();
  const double drainAt = kFirstTrouble + 3;
  const double end = drainAt + 13;
  bool hasLeft = false;
  while (now() < end) {
    if (aTrouble != "0" && now() >= nextWrite) {
      nextWrite += Deployment::kHeartbeat;
      aDeployment.store().put("servers/inventory-3",
                              R"({"service":")" + start.mService + R"(","address":")" +
                                textOf(start.mAddress, Ports::kBackend) + R"(","zone":")" +
                                start.mZone + R"(","capacity":4,"state":"ready"})",
                              Deployment::kLifetime);
      aDeployment.record().line("another writer writes servers/inventory-3, without version, "
                                "warmupLeftMs and sequence");
    }
    if (acknowledged.empty() && now() >= drainAt) {
      acknowledged[start.mId] = aDeployment.drain(machine);
    }
    if (!hasLeft && now() >= drainAt + kDrain + kServesOn) {
      hasLeft = true;
      aDeployment.endBackend(machine, false);
    }
    aDeployment.runUntil(now() + 0.02);
  }
  const auto lost = std::count_if(
    aDeployment.requests().begin(), aDeployment.requests().end(), [&](const auto& aEntry) {
      return late.contains(aEntry.second.mFlow) && !aEntry.second.mIsAnswered;
    });
  std::cout << "requests of late flows that got no answer: " << lost << '\n';
}

/// The settings files change: a bound becomes a fraction. Then the machines are restarted in turn.
void fractionalBound(Deployment& aDeployment, const std::string& aTrouble)
{
  constexpr double kRecovery = 12.0;
  begin(aDeployment);
  aDeployment.runUntil(kFirstTrouble);
  aDeployment.changeGrace(aTrouble == "0" ? "6" : "6.5");
  double time = kFirstTrouble + 3;
  for (Machine& machine : aDeployment.machines()) {
    aDeployment.runUntil(time);
    Deployment::signal(machine, SIGTERM);
    time += 1.3;
  }
  aDeployment.runUntil(time + kRecovery + 6);
  std::size_t failed = 0;
  for (const Machine& machine : aDeployment.machines()) {
    failed += machine.mOwnEnds >= 3 ? 1 : 0;
  }
  const double served = aDeployment.servedShare(time + kRecovery, time + kRecovery + 4);
  aDeployment.record().line("served at the end: " + std::to_string(served));
  if (10 * failed >= aDeployment.machines().size() && failed >= 2) {
    aDeployment.violation("Fault: the programs of " + std::to_string(failed) +
                          " machines do not start");
  }
}

int run(const std::string& aCase, const std::string& aRepository, const std::string& aRecord)
{
  const char* trouble = std::getenv("TROUBLE");
  const std::string mode = trouble == nullptr ? "1" : trouble;
  Record record(aRecord);
  const char* temporary = std::getenv("TMPDIR");
  std::string folder = std::string(temporary == nullptr ? "/tmp" : temporary) + "/review-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  Deployment deployment(aRepository, folder, record);
  const std::map<std::string, void (*)(Deployment&, const std::string&)> cases{
    { "reuse-address", &reuseAddress },
    { "restart-agent", &restartAgent },
    { "foreign-entry", &foreignEntry },
    { "fractional-bound", &fractionalBound }
  };
  cases.at(aCase)(deployment, mode);
  const double served = deployment.servedShare(kTrafficStart, kFirstTrouble - 1);
  std::cout << aCase << " TROUBLE=" << mode << " requests=" << deployment.requests().size()
            << " served_before=" << served
            << " resets_of_open_flows=" << deployment.resetsOfOpenFlows()
            << " violations=" << deployment.violations().size() << '\n';
  if (!deployment.violations().empty()) {
    std::cout << "first: " << deployment.violations().front() << '\n';
  }
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::cout << "logs in " << folder << '\n';
  } else {
    std::filesystem::remove_all(folder);
  }
  if (served < 0.9) {
    std::cout << "the deployment did not serve before the disruption\n";
    return 2;
  }
  return deployment.violations().empty() ? 0 : 1;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (aArgc != 4) {
      throw std::runtime_error("expected a case, the repository and the path of the record");
    }
    return run(aArgv[1], aArgv[2], aArgv[3]);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 2;
  }
}
