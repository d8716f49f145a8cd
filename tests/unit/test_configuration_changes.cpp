#include "membership/configuration_changes.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;

namespace {

const flow::Endpoint kAddress = *flow::Endpoint::parse("198.51.100.20:80");

std::string textOf(const telemetry::Event& aEvent)
{
  std::string text(toString(aEvent.mKind));
  for (const auto& [name, value] : aEvent.mFields) {
    text += ' ';
    text += name;
    text += '=';
    text += value;
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_changes)

BOOST_AUTO_TEST_CASE(reports_the_shares_of_an_address_before_and_after_a_change)
{
  auto before = makeConfiguration(3, 4);
  before.mAddresses[kAddress] = { kAddress, { { "logbook", 90 }, { "other", 10 } } };
  auto after = makeConfiguration(3, 5);
  after.mAddresses[kAddress] = { kAddress, { { "logbook", 1 }, { "other", 0 } } };
  const auto events = membership::changeEvents(before, after);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(textOf(events[0]) == "address_changed address=198.51.100.20:80 "
                                  "before=logbook:90,other:10 after=logbook:1,other:0 revision=5");
  const auto removed = membership::changeEvents(after, makeConfiguration(3, 6));
  BOOST_TEST(textOf(removed.at(0)).ends_with("after=none revision=6"));
}

BOOST_AUTO_TEST_CASE(counts_upstreams_by_state)
{
  auto after = makeConfiguration(3, 5);
  after.mServices.at("logbook").mUpstreams[2].mState = config::UpstreamState::kLeaving;
  const auto events = membership::changeEvents(makeConfiguration(3, 4), after);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(textOf(events[0]) ==
             "service_changed service=logbook before=serving:3 after=serving:2,leaving:1 "
             "revision=5");
}

BOOST_AUTO_TEST_CASE(reports_no_unchanged_entry_and_no_service_of_the_first_configuration)
{
  BOOST_TEST(membership::changeEvents(makeConfiguration(3, 4), makeConfiguration(3, 5)).empty());
  BOOST_TEST(membership::changeEvents({}, makeConfiguration(3, 5)).empty());
}

BOOST_AUTO_TEST_CASE(bounds_the_number_of_events_per_change)
{
  auto after = makeConfiguration(3, 5);
  for (std::uint16_t port = 1; port <= 100; ++port) {
    const flow::Endpoint address{ kAddress.mAddress, port };
    after.mAddresses[address] = { address, { { "logbook", 1 } } };
  }
  const auto events = membership::changeEvents(makeConfiguration(3, 4), after);
  BOOST_REQUIRE(events.size() == membership::kMaxChangeEvents + 1);
  BOOST_TEST(textOf(events.back()) == "log_suppressed lines=36");
}

BOOST_AUTO_TEST_SUITE_END()
