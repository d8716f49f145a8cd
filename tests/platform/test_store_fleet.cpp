#include "platform/store/store_fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cornelcross;
using test::FleetEvent;

namespace {

constexpr std::size_t kEvents = 240;
constexpr unsigned kCalmSteps = 60; ///< at the end, after which everything must be in force

rc::Gen<FleetEvent> genEvent()
{
  using Kind = FleetEvent::Kind;
  const auto kind = rc::gen::weightedElement<Kind>({ { 24, Kind::kNone },
                                                     { 4, Kind::kChangeConfig },
                                                     { 2, Kind::kToggleZone },
                                                     { 2, Kind::kAddBackend },
                                                     { 1, Kind::kDrainBackend },
                                                     { 1, Kind::kCrashBackend },
                                                     { 2, Kind::kRestore },
                                                     { 1, Kind::kKill },
                                                     { 1, Kind::kKillAll },
                                                     { 1, Kind::kFreeze },
                                                     { 1, Kind::kCutFromStore },
                                                     { 1, Kind::kCutFromPeers },
                                                     { 1, Kind::kRead },
                                                     { 1, Kind::kLateResponse },
                                                     { 1, Kind::kCorruptHeader } });
  return rc::gen::build<FleetEvent>(rc::gen::set(&FleetEvent::mKind, kind),
                                    rc::gen::set(&FleetEvent::mTarget, rc::gen::inRange(0U, 256U)),
                                    rc::gen::set(&FleetEvent::mAmount, rc::gen::inRange(0U, 256U)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_fleet)

// Guards against configurations, zones and backends that go back or stay behind over restores of
// the store, in whichever order restores, changes and faults of processes come.
RC_BOOST_PROP(processes_follow_the_store_over_restores_and_never_go_back, ())
{
  test::StoreFleet fleet;
  const auto events = *rc::gen::container<std::vector<FleetEvent>>(kEvents, genEvent());
  for (const FleetEvent& event : events) {
    fleet.step(event);
  }
  for (unsigned i = 0; i < kCalmSteps; ++i) {
    fleet.step({});
  }
  for (const std::string& violation : fleet.violations()) {
    RC_FAIL(violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()
