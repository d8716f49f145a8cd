#include "agent/candidate_forwarder.hpp"
#include "routing/candidates.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kCaller = *flow::Endpoint::parse("10.1.1.1:40000");

struct Fixture
{
  explicit Fixture(std::uint32_t aUpstreamCount = 4)
    : mConfiguration(share(makeConfiguration(aUpstreamCount)))
    , mRoutes(*mConfiguration, mConfiguration->mServices.at("logbook"))
    , mAllCandidates(
        mRoutes.candidates(flow::FlowKey{ kCaller, kServiceAddress }.hash(), false, aUpstreamCount))
  {
    mCandidateForwarder.configure(mConfiguration, "logbook");
  }

  /// Forwards a packet from the candidate at aCandidateIndex on the first page.
  agent::Actions forwardFrom(std::uint8_t aFlags, std::size_t aCandidateIndex)
  {
    wire::Forward forward;
    const routing::CandidateServices services{ &mRoutes };
    const auto page = routing::ownerCandidates(services, { kCaller, kServiceAddress }, 0);
    forward.mCandidates = page.mAgents;
    forward.mIsLastPage = page.mIsLastPage;
    forward.mCandidateDigest = routing::candidateDigest(services);
    forward.mCandidateIndex = static_cast<std::uint8_t>(aCandidateIndex);
    forward.mPacket = makePacket({ kCaller, kServiceAddress, aFlags, 1, 2 });
    const auto packet = *flow::TcpPacket::parse(forward.mPacket);
    return mCandidateForwarder.forward(mNow, packet, std::move(forward));
  }

  /// Leaves probes of the agent unanswered for aDuration; the default makes the agent suspected.
  void leaveUnanswered(flow::Endpoint aPeer, base::Duration aDuration = 2s)
  {
    for (const base::Time end = mNow + aDuration; mNow < end; mNow += 100ms) {
      mFailureDetector.recordUse(mNow, aPeer);
      mFailureDetector.selectProbeTargets(mNow);
    }
  }

  base::Time mNow{ 100s };
  membership::FailureDetector mFailureDetector;
  flow::PacketFormat mPacketFormat = flow::ipv4Format();
  agent::CandidateForwarder mCandidateForwarder{ mFailureDetector,
                                                 mPacketFormat,
                                                 test::agentOf(0) };
  config::ConfigurationPtr mConfiguration;
  routing::ServiceRoutes mRoutes;
  std::vector<flow::Endpoint> mAllCandidates;
};

struct LargeService : Fixture
{
  LargeService() : Fixture(40) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(candidate_forwarder)

BOOST_FIXTURE_TEST_CASE(skips_a_suspected_agent_in_the_middle_of_the_candidate_list, Fixture)
{
  leaveUnanswered(mAllCandidates[1]);
  const auto actions = forwardFrom(flow::kAck, 0);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == mAllCandidates[2].toString());
}

BOOST_FIXTURE_TEST_CASE(queries_a_suspected_agent_last_and_sends_no_reset_without_its_reply,
                        Fixture)
{
  leaveUnanswered(mAllCandidates[3]);
  const auto actions = forwardFrom(flow::kAck, 2);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == mAllCandidates[3].toString());
  BOOST_TEST(findAction<agent::SendToCaller>(actions) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(sends_each_suspected_agent_at_the_end_a_copy, Fixture)
{
  leaveUnanswered(mAllCandidates[3]);
  leaveUnanswered(mAllCandidates[2]);
  const auto actions = forwardFrom(flow::kAck, 1);
  BOOST_TEST(std::count_if(actions.begin(), actions.end(), [](const auto& aAction) {
               return std::holds_alternative<agent::SendMessage>(aAction);
             }) == 2);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_syn_when_only_suspected_agents_are_left, Fixture)
{
  leaveUnanswered(mAllCandidates[3]);
  const auto actions = forwardFrom(flow::kSyn, 2);
  BOOST_TEST(findAction<agent::SendMessage>(actions) == nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(actions) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(resets_an_unowned_flow_once_a_suspected_agent_is_unreachable, Fixture)
{
  leaveUnanswered(mAllCandidates[3], 70s);
  BOOST_TEST(findAction<agent::SendToCaller>(forwardFrom(flow::kAck, 2)) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(continues_with_the_next_page_of_a_large_service, LargeService)
{
  const auto actions = forwardFrom(flow::kAck, routing::kCandidatesPerPage - 1);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == mAllCandidates[routing::kCandidatesPerPage].toString());
  const auto& forward = std::get<wire::Forward>(message->mMessage);
  BOOST_TEST(forward.mPage == 1);
  BOOST_TEST(forward.mCandidateIndex == 0);
  BOOST_TEST(!forward.mIsLastPage);
}

BOOST_AUTO_TEST_SUITE_END()
