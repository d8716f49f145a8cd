#include "routing/service_table.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

const flow::Endpoint kOtherAddress = *flow::Endpoint::parse("198.51.100.11:80");

std::size_t receiversAt(const routing::ServiceTable& aTable, flow::Endpoint aAddress)
{
  const auto* routes = aTable.selectService(aAddress);
  return routes == nullptr ? 0 : routes->receiverCount();
}

/// The services "logbook" and "other" at their addresses.
config::Configuration makeTwo(flow::Endpoint aLogbook, flow::Endpoint aOther)
{
  auto configuration = test::makeConfiguration(3);
  config::Service other = configuration.mServices.at("logbook");
  other.mName = "other";
  other.mAddress = aOther;
  other.mUpstreams.pop_back();
  configuration.mServices.at("logbook").mAddress = aLogbook;
  configuration.mServices.emplace("other", other);
  return configuration;
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_table)

BOOST_AUTO_TEST_CASE(services_that_exchange_their_addresses_are_found_at_the_new_ones)
{
  routing::ServiceTable table(test::share(makeTwo(test::kServiceAddress, kOtherAddress)));
  table.apply(test::share(makeTwo(kOtherAddress, test::kServiceAddress)));
  BOOST_TEST(receiversAt(table, test::kServiceAddress) == 2U);
  BOOST_TEST(receiversAt(table, kOtherAddress) == 3U);
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_taken_out_counts_for_services_that_did_not_change)
{
  auto configuration = test::makeConfiguration(3);
  routing::ServiceTable table(test::share(configuration));
  configuration.mZones["a"] = { "a", false };
  table.apply(test::share(configuration));
  BOOST_TEST(receiversAt(table, test::kServiceAddress) == 2U);
}

BOOST_AUTO_TEST_CASE(a_service_that_was_deleted_is_not_found)
{
  auto configuration = test::makeConfiguration(3);
  routing::ServiceTable table(test::share(configuration));
  configuration.mServices.clear();
  table.apply(test::share(configuration));
  BOOST_TEST(table.selectService(test::kServiceAddress) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
