#include "balancer/packet_router.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/sealed_packets.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kUpstreams = 6; ///< two in each availability zone

/// Callers keep flows open and send on them all the time; routers keep each at one balancer.
struct Fixture
{
  Fixture() { mBalancer.apply(share(makeConfiguration(kUpstreams))); }

  wire::Forward forwardOf(std::uint16_t aPort, std::uint8_t aFlags)
  {
    const auto action =
      mBalancer.route(mNow, makeSealed({ callerOf(aPort), kServiceAddress, aFlags, 1000, 2000 }));
    const auto* sent = std::get_if<balancer::SendForward>(&action);
    BOOST_REQUIRE(sent != nullptr);
    BOOST_TEST((sent->mTo == sent->mForward.mCandidates.front()));
    return sent->mForward;
  }

  static flow::Endpoint callerOf(std::uint16_t aPort) { return { { 0x64400007U }, aPort }; }

  static bool isInZoneB(flow::Endpoint aAgent)
  {
    return aAgent == agentOf(1) || aAgent == agentOf(4);
  }

  base::Time mNow{ 100s };
  balancer::PacketRouter mBalancer{ *flow::Endpoint::parse("127.0.1.1:7000"),
                                    100,
                                    platform::packetFormat(),
                                    true,
                                    "b" };
};

constexpr std::uint16_t kFlows = 60;

} // namespace

BOOST_FIXTURE_TEST_SUITE(likely_owner, Fixture)

BOOST_AUTO_TEST_CASE(a_new_flow_is_offered_in_the_balancers_own_zone_first_and_then_elsewhere)
{
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const auto candidates = forwardOf(port, kSealedSyn).mCandidates;
    BOOST_REQUIRE(candidates.size() == kUpstreams);
    BOOST_TEST((isInZoneB(candidates[0]) && isInZoneB(candidates[1])));
  }
}

BOOST_AUTO_TEST_CASE(a_packet_of_an_established_flow_names_the_agent_that_was_offered_it_alone)
{
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const auto offered = forwardOf(port, kSealedSyn).mCandidates.front();
    const auto forward = forwardOf(port, kSealedAck);
    BOOST_TEST((forward.mCandidates == std::vector{ offered }));
    BOOST_TEST(!forward.mIsLastPage);
    BOOST_TEST(forward.mPage == wire::kNoPage);
  }
}

BOOST_AUTO_TEST_CASE(an_owner_that_told_of_itself_is_named)
{
  const auto first = forwardOf(7, kSealedAck).mCandidates.front();
  const auto owner = first == agentOf(3) ? agentOf(0) : agentOf(3);
  mBalancer.onOwnerUpdate(mNow, { { callerOf(7), kServiceAddress }, owner });
  BOOST_TEST((forwardOf(7, kSealedAck).mCandidates.front() == owner));
}

BOOST_AUTO_TEST_CASE(a_suspected_owner_is_passed_over)
{
  const auto owner = forwardOf(7, kSealedAck).mCandidates.front();
  for (const base::Time end = mNow + 2s; mNow < end; mNow += 100ms) {
    mBalancer.failureDetector().recordUse(mNow, owner);
    mBalancer.failureDetector().selectProbeTargets(mNow);
  }
  BOOST_TEST((forwardOf(7, kSealedAck).mCandidates.front() != owner));
}

BOOST_AUTO_TEST_CASE(a_remembered_owner_whose_upstream_is_gone_for_good_is_not_named)
{
  mBalancer.onOwnerUpdate(mNow, { { callerOf(7), kServiceAddress }, agentOf(5) });
  mBalancer.apply(share(makeConfiguration(kUpstreams - 1, 2)));
  BOOST_TEST((forwardOf(7, kSealedAck).mCandidates.front() != agentOf(5)));
}

BOOST_AUTO_TEST_SUITE_END()
