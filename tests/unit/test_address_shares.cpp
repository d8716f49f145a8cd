#include "balancer/packet_router.hpp"
#include "routing/service_table.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kSplitAddress = *flow::Endpoint::parse("198.51.100.20:80");

/// Configuration of the services "logbook" (agents 0 to 2) and "other" (agents 3 and 4), which
/// share the address kSplitAddress with the given weights.
config::Configuration makeSplit(std::uint32_t aLogbookWeight, std::uint32_t aOtherWeight)
{
  auto configuration = makeConfiguration(3);
  auto other = makeConfiguration(5).mServices.at("logbook");
  other.mName = "other";
  other.mAddress = {};
  other.mUpstreams.erase(other.mUpstreams.begin(), other.mUpstreams.begin() + 3);
  configuration.mServices.emplace("other", other);
  configuration.mAddresses[kSplitAddress] = {
    kSplitAddress, { { "logbook", aLogbookWeight }, { "other", aOtherWeight } }
  };
  return configuration;
}

flow::Bytes makeFlowPacket(std::uint16_t aPort, std::uint8_t aFlags)
{
  return makePacket({ { { 0x0A000001U }, aPort }, kSplitAddress, aFlags, 1, 1, 0 });
}

bool isOfOther(flow::Endpoint aAgent)
{
  return aAgent == agentOf(3) || aAgent == agentOf(4);
}

struct Fixture
{
  const wire::Forward* route(std::uint16_t aPort, std::uint8_t aFlags)
  {
    mAction = mBalancer.route(base::Time{ 100s }, makeFlowPacket(aPort, aFlags));
    const auto* send = std::get_if<balancer::SendForward>(&mAction);
    return send == nullptr ? nullptr : &send->mForward;
  }

  balancer::PacketRouter mBalancer{ *flow::Endpoint::parse("127.0.1.1:7000"),
                                    100,
                                    flow::ipv4Format(),
                                    true };
  balancer::Action mAction;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(address_shares, Fixture)

BOOST_AUTO_TEST_CASE(new_flows_are_split_by_weight)
{
  constexpr int kFlows = 4000;
  mBalancer.apply(share(makeSplit(750, 250)));
  int otherCount = 0;
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const auto* forward = route(port, flow::kSyn);
    BOOST_REQUIRE(forward != nullptr);
    otherCount += isOfOther(forward->mCandidates.front()) ? 1 : 0;
    BOOST_TEST(forward->mCandidates.size() == (isOfOther(forward->mCandidates.front()) ? 2U : 3U));
  }
  // Five standard deviations of a binomial distribution around a quarter.
  BOOST_TEST(std::abs(otherCount - kFlows / 4) < 137);
}

BOOST_AUTO_TEST_CASE(an_established_flow_has_the_upstreams_of_all_services_as_candidates)
{
  mBalancer.apply(share(makeSplit(1000, 0)));
  const auto* forward = route(7, flow::kAck);
  BOOST_REQUIRE(forward != nullptr);
  BOOST_TEST(forward->mCandidates.size() == 5U);
  BOOST_TEST(!isOfOther(forward->mCandidates.front()));
  BOOST_TEST(forward->mService == 0U);
  BOOST_TEST(forward->mIsLastPage);
}

BOOST_AUTO_TEST_CASE(a_service_with_weight_zero_receives_no_new_flow)
{
  mBalancer.apply(share(makeSplit(1, 0)));
  for (std::uint16_t port = 1; port < 200; ++port) {
    BOOST_TEST(!isOfOther(route(port, flow::kSyn)->mCandidates.front()));
  }
}

BOOST_AUTO_TEST_CASE(a_changed_service_is_updated_at_all_of_its_addresses)
{
  auto configuration = makeSplit(0, 1);
  mBalancer.apply(share(configuration));
  configuration.mServices.at("other").mUpstreams.pop_back();
  mBalancer.apply(share(configuration));
  BOOST_TEST(route(1, flow::kSyn)->mCandidates.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_flow_without_an_eligible_upstream_is_refused_at_once)
{
  auto configuration = makeSplit(0, 1);
  for (std::size_t i = 0; i < 2; ++i) {
    configuration.mServices.at("other").mUpstreams[i].mState = config::UpstreamState::kLeaving;
  }
  mBalancer.apply(share(configuration));
  route(1, flow::kSyn);
  BOOST_TEST(std::holds_alternative<balancer::RefuseFlow>(mAction));
  BOOST_TEST(route(1, flow::kAck) != nullptr);
}

BOOST_AUTO_TEST_CASE(new_flows_to_an_unknown_address_are_refused_and_other_packets_dropped)
{
  mBalancer.apply(share(makeConfiguration(3)));
  route(1, flow::kSyn);
  BOOST_TEST(std::holds_alternative<balancer::RefuseFlow>(mAction));
  route(1, flow::kAck);
  BOOST_TEST(std::holds_alternative<balancer::DropPacket>(mAction));
}

BOOST_AUTO_TEST_SUITE_END()
