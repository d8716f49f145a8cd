#include "balancer/packet_router.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/sealed_packets.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kUpstreams = 6; ///< two in each availability zone

/// Balancer in the zone "b". Callers keep their flows open and busy, and routers send all packets
/// of a flow to one balancer, which forwards each packet to the likely owner of the flow only.
struct Fixture
{
  Fixture() { mBalancer.apply(share(makeConfiguration(kUpstreams))); }

  wire::Forward route(std::uint16_t aPort, std::uint8_t aFlags)
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

BOOST_AUTO_TEST_CASE(the_candidates_of_a_new_flow_start_with_the_balancers_own_zone)
{
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const auto candidates = route(port, kSealedSyn).mCandidates;
    BOOST_REQUIRE(candidates.size() == kUpstreams);
    BOOST_TEST((isInZoneB(candidates[0]) && isInZoneB(candidates[1])));
  }
}

BOOST_AUTO_TEST_CASE(the_first_candidate_of_a_new_flow_is_the_only_candidate_of_its_later_packets)
{
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const auto firstCandidate = route(port, kSealedSyn).mCandidates.front();
    const auto forward = route(port, kSealedAck);
    BOOST_TEST((forward.mCandidates == std::vector{ firstCandidate }));
    BOOST_TEST(!forward.mIsLastPage);
    BOOST_TEST(forward.mPage == wire::kNoPage);
  }
}

BOOST_AUTO_TEST_CASE(an_owner_that_sent_an_update_is_the_first_candidate)
{
  const auto first = route(7, kSealedAck).mCandidates.front();
  const auto owner = first == agentOf(3) ? agentOf(0) : agentOf(3);
  mBalancer.onOwnerUpdate(mNow, { { callerOf(7), kServiceAddress }, owner });
  BOOST_TEST((route(7, kSealedAck).mCandidates.front() == owner));
}

BOOST_AUTO_TEST_CASE(a_suspected_owner_is_not_the_first_candidate)
{
  const auto owner = route(7, kSealedAck).mCandidates.front();
  for (const base::Time end = mNow + 2s; mNow < end; mNow += 100ms) {
    mBalancer.failureDetector().recordUse(mNow, owner);
    mBalancer.failureDetector().selectProbeTargets(mNow);
  }
  BOOST_TEST((route(7, kSealedAck).mCandidates.front() != owner));
}

BOOST_AUTO_TEST_CASE(a_cached_owner_whose_upstream_is_removed_is_not_the_first_candidate)
{
  mBalancer.onOwnerUpdate(mNow, { { callerOf(7), kServiceAddress }, agentOf(5) });
  mBalancer.apply(share(makeConfiguration(kUpstreams - 1, 2)));
  BOOST_TEST((route(7, kSealedAck).mCandidates.front() != agentOf(5)));
}

BOOST_AUTO_TEST_SUITE_END()
