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

const flow::Endpoint kSplit = *flow::Endpoint::parse("198.51.100.20:80");

/// "logbook" with the agents 0 to 2 and "other" with 3 and 4, both behind kSplit.
config::Configuration makeSplit(std::uint32_t aLogbook, std::uint32_t aOther)
{
  auto configuration = makeConfiguration(3);
  auto other = makeConfiguration(5).mServices.at("logbook");
  other.mName = "other";
  other.mAddress = {};
  other.mUpstreams.erase(other.mUpstreams.begin(), other.mUpstreams.begin() + 3);
  configuration.mServices.emplace("other", other);
  configuration.mAddresses[kSplit] = { kSplit, { { "logbook", aLogbook }, { "other", aOther } } };
  return configuration;
}

flow::Bytes packetOf(std::uint16_t aPort, std::uint8_t aFlags)
{
  return makePacket({ { { 0x0A000001U }, aPort }, kSplit, aFlags, 1, 1, 0 });
}

bool isOfOther(flow::Endpoint aAgent)
{
  return aAgent == agentOf(3) || aAgent == agentOf(4);
}

struct Fixture
{
  const wire::Forward* decide(std::uint16_t aPort, std::uint8_t aFlags)
  {
    mAction = mBalancer.route(base::Time{ 100s }, packetOf(aPort, aFlags));
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
  int others = 0;
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const auto* forward = decide(port, flow::kSyn);
    BOOST_REQUIRE(forward != nullptr);
    others += isOfOther(forward->mCandidates.front()) ? 1 : 0;
    BOOST_TEST(forward->mCandidates.size() == (isOfOther(forward->mCandidates.front()) ? 2U : 3U));
  }
  // Five standard deviations of a binomial distribution around a quarter.
  BOOST_TEST(std::abs(others - kFlows / 4) < 137);
}

BOOST_AUTO_TEST_CASE(an_established_flow_may_be_with_any_of_the_services)
{
  mBalancer.apply(share(makeSplit(1000, 0)));
  const auto* forward = decide(7, flow::kAck);
  BOOST_REQUIRE(forward != nullptr);
  BOOST_TEST(forward->mCandidates.size() == 5U);
  BOOST_TEST(!isOfOther(forward->mCandidates.front()));
  BOOST_TEST(forward->mService == 0U);
  BOOST_TEST(forward->mIsLastPage);
}

BOOST_AUTO_TEST_CASE(a_share_of_zero_gets_no_new_flow)
{
  mBalancer.apply(share(makeSplit(1, 0)));
  for (std::uint16_t port = 1; port < 200; ++port) {
    BOOST_TEST(!isOfOther(decide(port, flow::kSyn)->mCandidates.front()));
  }
}

BOOST_AUTO_TEST_CASE(a_service_that_changes_is_found_at_all_of_its_addresses)
{
  auto configuration = makeSplit(0, 1);
  mBalancer.apply(share(configuration));
  configuration.mServices.at("other").mUpstreams.pop_back();
  mBalancer.apply(share(configuration));
  BOOST_TEST(decide(1, flow::kSyn)->mCandidates.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_flow_that_nobody_can_take_is_refused_at_once)
{
  auto configuration = makeSplit(0, 1);
  for (std::size_t i = 0; i < 2; ++i) {
    configuration.mServices.at("other").mUpstreams[i].mState = config::UpstreamState::kLeaving;
  }
  mBalancer.apply(share(configuration));
  decide(1, flow::kSyn);
  BOOST_TEST(std::holds_alternative<balancer::RefuseFlow>(mAction));
  BOOST_TEST(decide(1, flow::kAck) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_unknown_address_refuses_new_flows_and_drops_the_rest)
{
  mBalancer.apply(share(makeConfiguration(3)));
  decide(1, flow::kSyn);
  BOOST_TEST(std::holds_alternative<balancer::RefuseFlow>(mAction));
  decide(1, flow::kAck);
  BOOST_TEST(std::holds_alternative<balancer::DropPacket>(mAction));
}

BOOST_AUTO_TEST_SUITE_END()
