#include "routing/rendezvous.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

BOOST_AUTO_TEST_SUITE(rendezvous)

BOOST_AUTO_TEST_CASE(a_state_change_keeps_all_ranks)
{
  auto configuration = test::makeConfiguration(7);
  auto& service = configuration.mServices.at("logbook");
  const auto before = routing::rank(service, 12345, 7);
  service.mUpstreams[before[0]].mState = config::UpstreamState::kLeaving;
  BOOST_TEST(routing::rank(service, 12345, 7) == before);
}

BOOST_AUTO_TEST_CASE(removing_an_upstream_keeps_the_order_of_the_others)
{
  auto service = test::makeConfiguration(7).mServices.at("logbook");
  for (std::uint64_t flow = 1; flow <= 100; ++flow) {
    std::vector<std::string> expected;
    for (const auto index : routing::rank(service, flow, 7)) {
      if (index != 6) {
        expected.push_back(service.mUpstreams[index].mName);
      }
    }
    auto smaller = service;
    smaller.mUpstreams.pop_back();
    std::vector<std::string> actual;
    for (const auto index : routing::rank(smaller, flow, 6)) {
      actual.push_back(smaller.mUpstreams[index].mName);
    }
    BOOST_TEST(actual == expected, boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(distributes_flows_in_proportion_to_the_weights)
{
  auto service = test::makeConfiguration(4).mServices.at("logbook");
  service.mUpstreams[0].mWeight = 3;
  std::vector<double> shares(4);
  constexpr int kFlows = 60000;
  for (std::uint64_t flow = 0; flow < kFlows; ++flow) {
    shares[routing::rank(service, flow * 0x9E3779B97F4A7C15ULL, 1)[0]] += 1.0 / kFlows;
  }
  BOOST_TEST(shares[0] > 0.48);
  BOOST_TEST(shares[0] < 0.52);
  BOOST_TEST(shares[1] > 0.15);
  BOOST_TEST(shares[1] < 0.185);
}

BOOST_AUTO_TEST_SUITE_END()
