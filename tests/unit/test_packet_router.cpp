#include "balancer/packet_router.hpp"
#include "routing/candidates.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kSelf = *flow::Endpoint::parse("127.0.1.1:7000");
const flow::Endpoint kCaller = *flow::Endpoint::parse("10.1.1.1:40000");

struct Fixture
{
  Fixture() { mBalancer.apply(share(makeConfiguration(40))); }

  balancer::SendForward decide(std::uint8_t aFlags)
  {
    const auto packet = makePacket({ kCaller, kServiceAddress, aFlags, 1, 2 });
    return std::get<balancer::SendForward>(mBalancer.route(mNow, packet));
  }

  void useFor(base::Duration aDuration)
  {
    for (const base::Time end = mNow + aDuration; mNow < end; mNow += 100ms) {
      decide(flow::kSyn);
      mBalancer.failureDetector().selectProbeTargets(mNow);
    }
  }

  base::Time mNow{ 100s };
  balancer::PacketRouter mBalancer{ kSelf, 16 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(balancer_decisions, Fixture)

BOOST_AUTO_TEST_CASE(sends_new_flows_past_an_agent_that_fell_silent_within_a_second)
{
  const auto dead = decide(flow::kSyn).mTo;
  useFor(1s);
  const auto after = decide(flow::kSyn);
  BOOST_TEST(after.mTo.toString() != dead.toString());
  BOOST_TEST(after.mForward.mCandidates.back().toString() == dead.toString());
}

BOOST_AUTO_TEST_CASE(returns_to_the_first_rank_once_its_agent_answers)
{
  const auto first = decide(flow::kSyn).mTo;
  useFor(1s);
  mBalancer.failureDetector().recordReply(mNow, first);
  BOOST_TEST(decide(flow::kSyn).mTo.toString() == first.toString());
}

BOOST_AUTO_TEST_CASE(asks_the_remembered_owner_first_though_it_ranks_beyond_the_first_chunk)
{
  const auto configuration = makeConfiguration(40);
  const flow::FlowKey flow{ kCaller, kServiceAddress };
  const routing::ServiceRoutes routes(configuration, configuration.mServices.at("logbook"));
  const auto all = routes.candidates(flow.hash(), false, 40);
  mBalancer.onOwnerUpdate(mNow, { flow, all[30] });
  const auto forward = decide(flow::kAck);
  BOOST_TEST(forward.mTo.toString() == all[30].toString());
  BOOST_TEST(forward.mForward.mCandidates.size() == routing::kCandidatesPerPage + 1);
}

BOOST_AUTO_TEST_SUITE_END()
