#include "routing/service_table.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

const flow::Endpoint kOtherAddress = *flow::Endpoint::parse("198.51.100.11:80");

std::size_t receiverCountAt(const routing::ServiceTable& aTable, flow::Endpoint aAddress)
{
  const auto* routes = aTable.selectService(aAddress);
  return routes == nullptr ? 0 : routes->receiverCount();
}

/// Configuration of the services "logbook" and "other" with three and two upstreams at the given
/// addresses.
config::Configuration makeTwoServices(flow::Endpoint aLogbookAddress, flow::Endpoint aOtherAddress)
{
  auto configuration = test::makeConfiguration(3);
  config::Service other = configuration.mServices.at("logbook");
  other.mName = "other";
  other.mAddress = aOtherAddress;
  other.mUpstreams.pop_back();
  configuration.mServices.at("logbook").mAddress = aLogbookAddress;
  configuration.mServices.emplace("other", other);
  return configuration;
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_table)

BOOST_AUTO_TEST_CASE(services_that_exchange_their_addresses_are_found_at_their_new_addresses)
{
  routing::ServiceTable table(test::share(makeTwoServices(test::kServiceAddress, kOtherAddress)));
  table.apply(test::share(makeTwoServices(kOtherAddress, test::kServiceAddress)));
  BOOST_TEST(receiverCountAt(table, test::kServiceAddress) == 2U);
  BOOST_TEST(receiverCountAt(table, kOtherAddress) == 3U);
}

BOOST_AUTO_TEST_CASE(a_zone_taken_out_of_service_affects_services_that_did_not_change)
{
  auto configuration = test::makeConfiguration(3);
  routing::ServiceTable table(test::share(configuration));
  configuration.mZones["a"] = { "a", false };
  table.apply(test::share(configuration));
  BOOST_TEST(receiverCountAt(table, test::kServiceAddress) == 2U);
}

BOOST_AUTO_TEST_CASE(a_deleted_service_is_not_found)
{
  auto configuration = test::makeConfiguration(3);
  routing::ServiceTable table(test::share(configuration));
  configuration.mServices.clear();
  table.apply(test::share(configuration));
  BOOST_TEST(table.selectService(test::kServiceAddress) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
