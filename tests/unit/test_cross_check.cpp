#include "config/document_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

/// Returns a service document with one upstream: its agent at aPort, its own address at aPort + 1.
config::Document serviceDocument(const std::string& aName,
                                 std::uint64_t aRevision,
                                 const std::string& aAddress,
                                 int aPort)
{
  return { "service/" + aName,
           aRevision,
           R"({"address": ")" + aAddress + R"(", "upstreams": [{"name": "u", "zone": "a",
             "slots": 1, "state": "serving", "agent": "127.0.0.1:)" +
             std::to_string(aPort) + R"(", "address": "127.0.0.1:)" + std::to_string(aPort + 1) +
             R"("}]})" };
}

std::size_t acceptedServiceCount(const config::DocumentStore& aStore)
{
  return aStore.configuration()->mServices.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(cross_check)

BOOST_AUTO_TEST_CASE(rejects_the_later_of_two_services_at_one_address_in_any_order)
{
  const auto older = serviceDocument("x", 1, "198.51.100.1:80", 1000);
  const auto newer = serviceDocument("y", 2, "198.51.100.1:80", 2000);
  for (const auto& batch : { std::vector{ older, newer }, std::vector{ newer, older } }) {
    config::DocumentStore store;
    const auto errors = store.merge(2, batch);
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(errors[0].toString() ==
               "service/y.address: expected an address that service/x does not use");
    BOOST_TEST(store.configuration()->mServices.count("x") == 1U);
  }
}

BOOST_AUTO_TEST_CASE(rejects_an_agent_or_upstream_endpoint_of_another_service)
{
  config::DocumentStore store;
  const auto errors = store.merge(2,
                                  { serviceDocument("x", 1, "198.51.100.1:80", 1000),
                                    serviceDocument("y", 2, "198.51.100.2:80", 1001) });
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].mPath == "service/y.upstreams[0].agent");
}

BOOST_AUTO_TEST_CASE(
  keeps_the_active_service_when_its_new_document_uses_an_address_of_another_service)
{
  config::DocumentStore store;
  store.merge(2,
              { serviceDocument("x", 1, "198.51.100.1:80", 1000),
                serviceDocument("y", 2, "198.51.100.2:80", 2000) });
  store.merge(3, { serviceDocument("y", 3, "198.51.100.1:80", 2000) });
  BOOST_TEST(store.configuration()->mServices.at("y").mAddress.toString() == "198.51.100.2:80");
}

BOOST_AUTO_TEST_CASE(accepts_a_rejected_document_once_the_other_service_is_deleted)
{
  config::DocumentStore store;
  store.merge(2,
              { serviceDocument("x", 1, "198.51.100.1:80", 1000),
                serviceDocument("y", 2, "198.51.100.1:80", 2000) });
  const auto errors = store.merge(3, { { "service/x", 3, std::nullopt } });
  BOOST_TEST(errors.empty());
  BOOST_TEST(acceptedServiceCount(store) == 1U);
  BOOST_TEST(store.configuration()->mServices.count("y") == 1U);
}

BOOST_AUTO_TEST_CASE(rejects_a_duplicate_member)
{
  config::DocumentStore store;
  const auto errors = store.merge(1, { { "zones", 1, R"({"zones": [], "zones": []})" } });
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].toString() == "zones: expected the member \"zones\" once in an object");
}

BOOST_AUTO_TEST_SUITE_END()
