/// Measures control traffic, processor time, calls to the configuration service and the time until
/// a change is in force, with growing numbers of real processes on loopback; and the memory of one
/// balancer and one agent with growing configurations. Each figure gets a linear fit.

#include "base/settings_validator.hpp"
#include "bench/control/fleet.hpp"
#include "bench/control/linear_fit.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

DEFINE_string(build, "build", "build folder with the programs");
DEFINE_string(processes, "5,10,20,40,80", "numbers of balancers and agents");
DEFINE_string(services, "100,3000,6000,9000,12000", "numbers of services known");
DEFINE_double(idle_seconds, 10, "time without a change");
DEFINE_uint32(changes, 8, "changes, one a second");

namespace {

using namespace cornelcross::bench;

constexpr std::uint32_t kProcessesPerBalancer = 5;
constexpr std::uint32_t kAgentsPerService = 4;
constexpr double kReadySeconds = 60;
constexpr double kSettleSeconds = 4;

/// Figures of one size by their names, in the order in which they are printed.
using Figures = std::vector<std::pair<std::string, double>>;

std::vector<std::uint32_t> parseList(const std::string& aText)
{
  std::vector<std::uint32_t> values;
  std::istringstream stream(aText);
  for (std::string value; std::getline(stream, value, ',');) {
    values.push_back(static_cast<std::uint32_t>(std::stoul(value)));
  }
  return values;
}

void sleepSeconds(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

std::string makeFolder()
{
  std::string pattern = std::filesystem::temp_directory_path() / "bench-control-XXXXXX";
  return mkdtemp(pattern.data());
}

void addRates(Figures& aFigures,
              const std::string& aPhase,
              const FleetTotals& aTotals,
              double aNodeSeconds)
{
  aFigures.emplace_back(aPhase + "_sent_bytes", aTotals.mSentBytes / aNodeSeconds);
  aFigures.emplace_back(aPhase + "_received_bytes", aTotals.mReceivedBytes / aNodeSeconds);
  aFigures.emplace_back(aPhase + "_messages", aTotals.mMessages / aNodeSeconds);
  aFigures.emplace_back(aPhase + "_calls", aTotals.mCalls / aNodeSeconds);
  aFigures.emplace_back(aPhase + "_cpu_ms", aTotals.mCpuSeconds * 1000 / aNodeSeconds);
}

void addApplyTimes(Figures& aFigures, const Fleet& aFleet)
{
  std::vector<double> everywhere;
  std::vector<double> each;
  double missing = 0;
  for (const auto& [revision, times] : aFleet.applyTimes()) {
    everywhere.push_back(*std::max_element(times.begin(), times.end()));
    each.insert(each.end(), times.begin(), times.end());
    missing += static_cast<double>(aFleet.size() - times.size());
  }
  std::sort(everywhere.begin(), everywhere.end());
  std::sort(each.begin(), each.end());
  aFigures.emplace_back("in_force_one_median_ms", each[each.size() / 2]);
  aFigures.emplace_back("in_force_everywhere_median_ms", everywhere[everywhere.size() / 2]);
  aFigures.emplace_back("in_force_everywhere_worst_ms", everywhere.back());
  aFigures.emplace_back("never_in_force", missing);
}

/// Rates are a node and second.
Figures measureProcesses(std::uint32_t aProcesses)
{
  FleetSettings settings;
  settings.mBuild = FLAGS_build;
  settings.mFolder = makeFolder();
  settings.mBalancers = std::max(1U, aProcesses / kProcessesPerBalancer);
  settings.mAgents = aProcesses - settings.mBalancers;
  settings.mUpstreams = settings.mAgents;
  settings.mServices = std::max(1U, settings.mAgents / kAgentsPerService);
  Figures figures;
  {
    Fleet fleet(settings);
    if (!fleet.waitUntilReady(kReadySeconds)) {
      throw std::runtime_error("not every process got ready; logs in " + settings.mFolder);
    }
    sleepSeconds(kSettleSeconds);
    const FleetTotals start = fleet.totals();
    sleepSeconds(FLAGS_idle_seconds);
    const FleetTotals idle = fleet.totals();
    for (std::uint32_t i = 0; i < FLAGS_changes; ++i) {
      fleet.publishChange();
      sleepSeconds(1);
    }
    const FleetTotals changed = fleet.totals();
    sleepSeconds(kSettleSeconds);
    addRates(figures, "idle", idle - start, aProcesses * FLAGS_idle_seconds);
    addRates(figures, "change", changed - idle, aProcesses * static_cast<double>(FLAGS_changes));
    addApplyTimes(figures, fleet);
  }
  std::filesystem::remove_all(settings.mFolder);
  return figures;
}

Figures measureServices(std::uint32_t aServices)
{
  FleetSettings settings;
  settings.mBuild = FLAGS_build;
  settings.mFolder = makeFolder();
  settings.mAgents = 1;
  settings.mAllRead = true; // the agents that are listed besides don't run
  settings.mServices = aServices;
  settings.mUpstreams = aServices * 7 / 4; // 21,000 for 12,000
  Figures figures;
  {
    Fleet fleet(settings);
    if (!fleet.waitUntilReady(kReadySeconds)) {
      throw std::runtime_error("not every process got ready; logs in " + settings.mFolder);
    }
    for (std::uint32_t i = 0; i < FLAGS_changes; ++i) {
      fleet.publishChange();
      sleepSeconds(0.5);
    }
    sleepSeconds(1);
    figures.emplace_back("balancer_megabytes", fleet.balancerMegabytes());
    figures.emplace_back("agent_megabytes", fleet.agentMegabytes());
    addApplyTimes(figures, fleet);
  }
  std::filesystem::remove_all(settings.mFolder);
  return figures;
}

void printFit(const std::string& aName,
              const std::string& aAgainst,
              const std::vector<double>& aX,
              const std::vector<double>& aY)
{
  const LinearFit fit = LinearFit::of(aX, aY);
  std::cout << "fit=" << aName << " against=" << aAgainst << " intercept=" << fit.mIntercept
            << " slope=" << fit.mSlope << " residual=" << fit.mResidual << '\n';
}

void measure(const std::string& aSize,
             const std::vector<std::uint32_t>& aSizes,
             const std::function<Figures(std::uint32_t)>& aMeasure)
{
  std::vector<double> x;
  std::vector<std::pair<std::string, std::vector<double>>> columns;
  for (const std::uint32_t size : aSizes) {
    const Figures figures = aMeasure(size);
    columns.resize(figures.size());
    x.push_back(size);
    std::cout << "measure=control " << aSize << "=" << size;
    for (std::size_t i = 0; i < figures.size(); ++i) {
      std::cout << ' ' << figures[i].first << "=" << figures[i].second;
      columns[i].first = figures[i].first;
      columns[i].second.push_back(figures[i].second);
    }
    std::cout << std::endl;
  }
  if (x.size() < 2) {
    return;
  }
  std::vector<double> logarithms;
  std::transform(x.begin(), x.end(), std::back_inserter(logarithms), [](double aValue) {
    return std::log2(aValue);
  });
  for (const auto& [name, values] : columns) {
    printFit(name, aSize, x, values);
    // An epidemic takes a number of rounds that grows with the logarithm.
    printFit(name, "log2_" + aSize, logarithms, values);
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace cornelcross;
  base::SettingsValidator validator(
    base::parseSettings(&aArgc, &aArgv, "Measures control traffic and memory of real processes."));
  validator.requireRange("changes", FLAGS_changes, 1, 1000);
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  try {
    measure("processes", parseList(FLAGS_processes), &measureProcesses);
    measure("services", parseList(FLAGS_services), &measureServices);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
