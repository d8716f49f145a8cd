#include "ownership/run_kind.hpp"

#include "ownership/callers.hpp"

namespace cornelcross::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of kinds when the first seeds were recorded; a new kind leaves them as they are.
constexpr std::uint64_t kSeedStride = 6;

constexpr std::size_t kOpenFlows = 150;
constexpr double kLateShare = 0.02;
constexpr base::Duration kFaultsLast = seconds(45);
constexpr base::Duration kAfterFaults = seconds(15);

/// Plans the faults of one run. Each statement draws one number, since the compiler chooses the
/// order in which the arguments of a call are evaluated.
class FaultPlan
{
public:
  FaultPlan(EventQueue& aEvents, membership::Random& aRandom, Fleet& aFleet, base::Time aStart)
    : mEvents(aEvents), mRandom(aRandom), mFleet(aFleet), mStart(aStart)
  {
  }

  void plan(RunKind aKind)
  {
    switch (aKind) {
      case RunKind::kPowerLost:
        losePower(seconds(0), "");
        break;
      case RunKind::kAgentsWhileZoneOut:
        takeZoneOut(seconds(0), randomZone());
        restartAgents(between(seconds(1), seconds(6)));
        break;
      case RunKind::kStoreAway:
        at(seconds(0), [this] { mFleet.setStoreAvailable(false); });
        at(between(seconds(20), seconds(40)), [this] { mFleet.setStoreAvailable(true); });
        restartUpstreams(between(seconds(1), seconds(5)));
        restartAgents(between(seconds(3), seconds(12)));
        break;
      case RunKind::kClocksStep:
        stepClocks(seconds(0));
        restartUpstreams(between(seconds(0), seconds(5)));
        restartAgents(between(seconds(2), seconds(12)));
        break;
      case RunKind::kZonePowerLostThenOut: {
        const std::string zone = randomZone();
        losePower(seconds(0), zone);
        takeZoneOut(between(milliseconds(2000), milliseconds(4500)), zone);
        // A process that first sees the zone out of service must start outside the zone as well,
        // and the agent of an owner must lose its records.
        restartAgents(between(milliseconds(2500), seconds(5)));
        break;
      }
      case RunKind::kMixed:
        planMixed();
        break;
      case RunKind::kZoneReturning:
        restartAgents(seconds(0));
        for (base::Duration offset = seconds(14); offset < seconds(40); offset += seconds(9)) {
          takeZoneOutBriefly(offset, randomZone());
          restartBalancers(offset);
        }
        break;
      case RunKind::kLateCopies:
        mFleet.setLateShare(kLateShare);
        restartAgents(seconds(0));
        restartAgents(seconds(20));
        break;
    }
  }

private:
  void at(base::Duration aOffset, std::function<void()> aFunction)
  {
    mEvents.at(mStart + aOffset, std::move(aFunction));
  }

  base::Duration between(base::Duration aMin, base::Duration aMax)
  {
    return mRandom.between(aMin, aMax);
  }

  std::string randomZone()
  {
    return std::string(1, static_cast<char>('a' + mRandom.below(Fleet::kZones)));
  }

  std::size_t randomAgent() { return Fleet::kBalancers + mRandom.below(Fleet::kUpstreams); }

  std::size_t randomVm() { return mRandom.below(mFleet.vms().size()); }

  /// @param aZone zone that loses power; all zones if empty
  void losePower(base::Duration aOffset, const std::string& aZone)
  {
    for (std::size_t vm = 0; vm < mFleet.vms().size(); ++vm) {
      if (aZone.empty() || mFleet.vms()[vm].mZone == aZone) {
        at(aOffset, [this, vm] { mFleet.losePower(vm, seconds(2)); });
      }
    }
  }

  void takeZoneOut(base::Duration aOffset, const std::string& aZone)
  {
    at(aOffset, [this, aZone] { mFleet.setZoneInService(aZone, false); });
    at(aOffset + between(seconds(20), seconds(40)),
       [this, aZone] { mFleet.setZoneInService(aZone, true); });
  }

  void restartAgents(base::Duration aOffset)
  {
    for (std::size_t i = 0; i < Fleet::kUpstreams; ++i) {
      at(aOffset, [this, vm = Fleet::kBalancers + i] { mFleet.restartInTurn(vm); });
      aOffset += between(milliseconds(300), seconds(2));
    }
  }

  void takeZoneOutBriefly(base::Duration aOffset, const std::string& aZone)
  {
    at(aOffset, [this, aZone] { mFleet.setZoneInService(aZone, false); });
    at(aOffset + between(seconds(4), seconds(7)),
       [this, aZone] { mFleet.setZoneInService(aZone, true); });
  }

  void restartBalancers(base::Duration aOffset)
  {
    for (std::size_t vm = 0; vm < Fleet::kBalancers; ++vm) {
      at(aOffset, [this, vm] { mFleet.restartInTurn(vm); });
      aOffset += between(milliseconds(300), milliseconds(1500));
    }
  }

  void restartUpstreams(base::Duration aOffset)
  {
    const std::size_t count = 2 + mRandom.below(4);
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t vm = randomAgent();
      const base::Duration down = between(milliseconds(200), seconds(3));
      const bool isNew = mRandom.below(2) == 0;
      at(aOffset, [this, vm] { mFleet.endUpstream(vm); });
      at(aOffset + down, [this, vm, isNew] { mFleet.startUpstream(vm, isNew); });
      aOffset += between(milliseconds(100), seconds(3));
    }
  }

  void stepClocks(base::Duration aOffset)
  {
    for (std::size_t vm = 0; vm < mFleet.vms().size(); ++vm) {
      if (mRandom.below(3) == 0) {
        at(aOffset, [this, vm] { mFleet.stepClock(vm, milliseconds(-2400)); });
      }
    }
  }

  void planMixed()
  {
    const std::size_t count = 4 + mRandom.below(6);
    for (std::size_t i = 0; i < count; ++i) {
      const base::Duration offset = between({}, kFaultsLast - seconds(10));
      switch (mRandom.below(8)) {
        case 0:
          losePower(offset, mRandom.below(3) == 0 ? "" : randomZone());
          break;
        case 1:
          takeZoneOut(offset, randomZone());
          break;
        case 2:
          restartAgents(offset);
          break;
        case 3:
          restartUpstreams(offset);
          break;
        case 4:
          at(offset, [this] { mFleet.setStoreAvailable(false); });
          at(offset + between(seconds(3), seconds(15)), [this] { mFleet.setStoreAvailable(true); });
          break;
        case 5:
          stepClocks(offset);
          break;
        case 6:
          endProcess(offset);
          break;
        default:
          blockPath(offset);
          break;
      }
    }
  }

  void blockPath(base::Duration aOffset)
  {
    const std::size_t from = randomVm();
    const std::size_t to = randomVm();
    at(aOffset, [this, from, to] { mFleet.blockPath(from, to, between(seconds(1), seconds(10))); });
  }

  void endProcess(base::Duration aOffset)
  {
    const std::size_t vm = randomVm();
    at(aOffset, [this, vm] { mFleet.endProcess(vm, false); });
    at(aOffset + between(milliseconds(500), seconds(5)), [this, vm] { mFleet.startProcess(vm); });
  }

  EventQueue& mEvents;
  membership::Random& mRandom;
  Fleet& mFleet;
  base::Time mStart;
};

} // namespace

std::string_view toString(RunKind aKind)
{
  switch (aKind) {
    case RunKind::kPowerLost:
      return "power_lost";
    case RunKind::kAgentsWhileZoneOut:
      return "agents_while_zone_out";
    case RunKind::kStoreAway:
      return "store_away";
    case RunKind::kClocksStep:
      return "clocks_step";
    case RunKind::kZonePowerLostThenOut:
      return "zone_power_lost_then_out";
    case RunKind::kMixed:
      return "mixed";
    case RunKind::kZoneReturning:
      return "zone_returning";
    case RunKind::kLateCopies:
      return "late_copies";
  }
  return "unknown";
}

RunReport playRun(RunKind aKind, std::uint64_t aSeed)
{
  EventQueue events;
  membership::Random random(aSeed * kSeedStride + static_cast<std::uint64_t>(aKind));
  Fleet fleet(events, random);
  Callers callers(events, random, fleet);
  // The faults begin before or after the agents have run for the lifetime of a flow.
  const base::Time start = events.now() + random.between(seconds(15), seconds(75));
  const base::Time end = start + kFaultsLast + kAfterFaults;
  FaultPlan faults(events, random, fleet, start);
  faults.plan(aKind);
  callers.start(kOpenFlows, end);
  events.runUntil(end);
  RunReport report = callers.report();
  report.mEvents = events.count();
  return report;
}

} // namespace cornelcross::test
