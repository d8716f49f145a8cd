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

  balancer::SendForward route(std::uint8_t aFlags)
  {
    const auto packet = makePacket({ kCaller, kServiceAddress, aFlags, 1, 2 });
    return std::get<balancer::SendForward>(mBalancer.route(mNow, packet));
  }

  /// Routes new flows for aDuration while no agent answers a probe.
  void useWithoutReplies(base::Duration aDuration)
  {
    for (const base::Time end = mNow + aDuration; mNow < end; mNow += 100ms) {
      route(flow::kSyn);
      mBalancer.failureDetector().selectProbeTargets(mNow);
    }
  }

  base::Time mNow{ 100s };
  balancer::PacketRouter mBalancer{ kSelf, 16 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(packet_router, Fixture)

BOOST_AUTO_TEST_CASE(lists_an_agent_last_for_new_flows_after_a_second_without_replies)
{
  const auto silent = route(flow::kSyn).mTo;
  useWithoutReplies(1s);
  const auto after = route(flow::kSyn);
  BOOST_TEST(after.mTo.toString() != silent.toString());
  BOOST_TEST(after.mForward.mCandidates.back().toString() == silent.toString());
}

BOOST_AUTO_TEST_CASE(forwards_to_the_first_ranked_agent_again_once_the_agent_replies)
{
  const auto first = route(flow::kSyn).mTo;
  useWithoutReplies(1s);
  mBalancer.failureDetector().recordReply(mNow, first);
  BOOST_TEST(route(flow::kSyn).mTo.toString() == first.toString());
}

BOOST_AUTO_TEST_CASE(forwards_to_the_cached_owner_first_though_it_ranks_beyond_the_first_page)
{
  const auto configuration = makeConfiguration(40);
  const flow::FlowKey flow{ kCaller, kServiceAddress };
  const routing::ServiceRoutes routes(configuration, configuration.mServices.at("logbook"));
  const auto all = routes.candidates(flow.hash(), false, 40);
  mBalancer.onOwnerUpdate(mNow, { flow, all[30] });
  const auto forward = route(flow::kAck);
  BOOST_TEST(forward.mTo.toString() == all[30].toString());
  BOOST_TEST(forward.mForward.mCandidates.size() == routing::kCandidatesPerPage + 1);
}

BOOST_AUTO_TEST_SUITE_END()
