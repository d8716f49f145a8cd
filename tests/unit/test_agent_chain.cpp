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
  explicit Fixture(std::uint32_t aUpstreams = 4)
    : mConfiguration(share(makeConfiguration(aUpstreams)))
    , mRoutes(*mConfiguration, mConfiguration->mServices.at("logbook"))
    , mAll(mRoutes.candidates(flow::FlowKey{ kCaller, kServiceAddress }.hash(), false, aUpstreams))
  {
    mCandidateForwarder.configure(mConfiguration, "logbook");
  }

  /// Passes a packet on from the position aPosition of the first chunk.
  agent::Actions pass(std::uint8_t aFlags, std::size_t aPosition)
  {
    wire::Forward forward;
    const routing::CandidateServices services{ &mRoutes };
    const auto chunk = routing::ownerCandidates(services, { kCaller, kServiceAddress }, 0);
    forward.mCandidates = chunk.mAgents;
    forward.mIsLastPage = chunk.mIsLast;
    forward.mCandidateDigest = routing::candidateDigest(services);
    forward.mCandidateIndex = static_cast<std::uint8_t>(aPosition);
    forward.mPacket = makePacket({ kCaller, kServiceAddress, aFlags, 1, 2 });
    const auto packet = *flow::TcpPacket::parse(forward.mPacket);
    return mCandidateForwarder.forward(mNow, packet, std::move(forward));
  }

  void suspect(flow::Endpoint aPeer, base::Duration aFor = 2s)
  {
    for (const base::Time end = mNow + aFor; mNow < end; mNow += 100ms) {
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
  std::vector<flow::Endpoint> mAll;
};

struct LargeService : Fixture
{
  LargeService() : Fixture(40) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_chain)

BOOST_FIXTURE_TEST_CASE(passes_over_a_suspect_in_the_middle_of_the_chain, Fixture)
{
  suspect(mAll[1]);
  const auto actions = pass(flow::kAck, 0);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == mAll[2].toString());
}

BOOST_FIXTURE_TEST_CASE(asks_a_suspect_last_and_sends_no_reset_without_its_answer, Fixture)
{
  suspect(mAll[3]);
  const auto actions = pass(flow::kAck, 2);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == mAll[3].toString());
  BOOST_TEST(findAction<agent::SendToCaller>(actions) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(gives_every_suspect_at_the_end_a_copy_of_its_own, Fixture)
{
  suspect(mAll[3]);
  suspect(mAll[2]);
  const auto actions = pass(flow::kAck, 1);
  BOOST_TEST(std::count_if(actions.begin(), actions.end(), [](const auto& aAction) {
               return std::holds_alternative<agent::SendMessage>(aAction);
             }) == 2);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_syn_when_only_suspects_are_left, Fixture)
{
  suspect(mAll[3]);
  const auto actions = pass(flow::kSyn, 2);
  BOOST_TEST(findAction<agent::SendMessage>(actions) == nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(actions) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(resets_an_unowned_flow_once_a_suspect_counts_as_dead, Fixture)
{
  suspect(mAll[3], 70s);
  BOOST_TEST(findAction<agent::SendToCaller>(pass(flow::kAck, 2)) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(goes_on_with_the_next_chunk_of_a_large_service, LargeService)
{
  const auto actions = pass(flow::kAck, routing::kCandidatesPerPage - 1);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == mAll[routing::kCandidatesPerPage].toString());
  const auto& forward = std::get<wire::Forward>(message->mMessage);
  BOOST_TEST(forward.mPage == 1);
  BOOST_TEST(forward.mCandidateIndex == 0);
  BOOST_TEST(!forward.mIsLastPage);
}

BOOST_AUTO_TEST_SUITE_END()
