#include "agent/flow_manager.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/candidate_digest.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;

namespace {

const flow::Endpoint kCaller = *flow::Endpoint::parse("10.1.1.1:40000");
constexpr std::uint32_t kCallerInitialSequence = 1000;
constexpr std::uint32_t kUpstreamInitialSequence = 500000;

/// Agent of the first of three upstreams. Without a recovery window, the agent's flow records are
/// complete: the upstream has no flow that the agent has no record of.
struct Fixture
{
  explicit Fixture(base::Duration aRecoveryWindow = {})
    : mAgent({ .mSelf = agentOf(0), .mRecoveryWindow = aRecoveryWindow })
  {
    mAgent.apply(mNow, share(makeConfiguration(3)));
  }

  wire::Forward forward(const Segment& aSegment, std::uint8_t aCandidateIndex = 0) const
  {
    wire::Forward forward;
    forward.mIngress = *flow::Endpoint::parse("127.0.1.1:7000");
    forward.mService = config::upstreamIdentity("logbook", "");
    forward.mCandidateIndex = aCandidateIndex;
    forward.mIsLastPage = true;
    forward.mCandidateDigest = candidateDigestOf(makeConfiguration(3));
    forward.mCandidates = { agentOf(0), agentOf(1), agentOf(2) };
    std::swap(forward.mCandidates[0], forward.mCandidates[aCandidateIndex]);
    forward.mPacket = makePacket(aSegment);
    return forward;
  }

  agent::Actions forwardFromCaller(std::uint8_t aFlags,
                                   std::uint32_t aSequence,
                                   std::uint32_t aAcknowledgement,
                                   std::size_t aPayloadBytes = 0,
                                   std::uint8_t aCandidateIndex = 0)
  {
    return mAgent.onForward(
      mNow,
      mAgent.revision(),
      forward({ kCaller, kServiceAddress, aFlags, aSequence, aAcknowledgement, aPayloadBytes },
              aCandidateIndex));
  }

  agent::Actions receiveFromUpstream(std::uint8_t aFlags,
                                     std::uint32_t aSequence,
                                     std::uint32_t aAcknowledgement,
                                     std::size_t aPayloadBytes = 0)
  {
    return mAgent.onUpstreamPacket(
      mNow,
      makePacket({ kServiceAddress, kCaller, aFlags, aSequence, aAcknowledgement, aPayloadBytes }));
  }

  void establish()
  {
    forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
    receiveFromUpstream(
      flow::kSyn | flow::kAck, kUpstreamInitialSequence, kCallerInitialSequence + 1);
    forwardFromCaller(flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 1);
  }

  base::Time mNow{ std::chrono::seconds(100) };
  agent::FlowManager mAgent;
};

/// Agent that has just started beside an upstream that may have flows from before the start.
struct RestartedAgent : Fixture
{
  RestartedAgent() : Fixture(std::chrono::hours(12)) {}

  /// Sends the agent an ownership query with a packet of a flow that no agent has a record of.
  agent::Actions queryOwnership(wire::OwnershipQuery aQuery)
  {
    auto query = forward({ kCaller, kServiceAddress, flow::kAck, 11, 22 });
    query.mOwnershipQuery = aQuery;
    return mAgent.onForward(mNow, mAgent.revision(), query);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_decisions, Fixture)

BOOST_AUTO_TEST_CASE(admits_a_new_flow_and_delivers_its_segments)
{
  const auto opened = forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(opened) != nullptr);
  receiveFromUpstream(
    flow::kSyn | flow::kAck, kUpstreamInitialSequence, kCallerInitialSequence + 1);
  const auto delivered =
    forwardFromCaller(flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 1, 10);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
  BOOST_TEST(mAgent.admission().activeRequests() == 1U);
}

BOOST_AUTO_TEST_CASE(strips_data_from_a_syn)
{
  const auto opened = forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0, 100);
  const auto* delivered = findAction<agent::DeliverToUpstream>(opened);
  BOOST_REQUIRE(delivered != nullptr);
  BOOST_TEST(flow::TcpPacket::parse(delivered->mPacket)->mPayloadLength == 0U);
}

BOOST_AUTO_TEST_CASE(forwards_a_segment_without_a_flow_record_to_the_next_candidate)
{
  const auto forwarded = forwardFromCaller(flow::kAck, 1, 2);
  const auto* message = findAction<agent::SendMessage>(forwarded);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == agentOf(1).toString());
}

BOOST_AUTO_TEST_CASE(aborts_a_half_open_flow_when_the_acknowledgement_is_for_another_upstream)
{
  forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
  receiveFromUpstream(
    flow::kSyn | flow::kAck, kUpstreamInitialSequence, kCallerInitialSequence + 1);
  const auto actions = forwardFromCaller(flow::kAck, kCallerInitialSequence + 1, 77);
  const auto* reset = findAction<agent::DeliverToUpstream>(actions);
  BOOST_REQUIRE(reset != nullptr);
  BOOST_TEST(flow::TcpPacket::parse(reset->mPacket)->has(flow::kRst));
  BOOST_TEST(findAction<agent::SendMessage>(actions) != nullptr);
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(resets_an_unowned_segment_only_when_every_candidate_denied_it)
{
  const auto denied = forwardFromCaller(flow::kAck, 1, 2, 0, 2);
  BOOST_TEST(findAction<agent::SendToCaller>(denied) != nullptr);
  auto incomplete = forward({ kCaller, kServiceAddress, flow::kAck, 1, 2 }, 2);
  incomplete.mIsDeniedByAll = false;
  const auto dropped = mAgent.onForward(mNow, mAgent.revision(), incomplete);
  BOOST_TEST(findAction<agent::SendToCaller>(dropped) == nullptr);
}

BOOST_AUTO_TEST_CASE(refuses_a_syn_at_the_last_candidate)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  mAgent.apply(mNow, share(configuration));
  const auto refused = forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0, 0, 2);
  const auto* reset = findAction<agent::SendToCaller>(refused);
  BOOST_REQUIRE(reset != nullptr);
  BOOST_TEST(flow::TcpPacket::parse(reset->mPacket)->has(flow::kRst));
}

BOOST_AUTO_TEST_CASE(keeps_established_flows_while_its_upstream_is_leaving)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  mAgent.apply(mNow, share(configuration));
  const auto delivered =
    forwardFromCaller(flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 1, 5);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
}

BOOST_AUTO_TEST_CASE(drops_a_packet_for_another_service)
{
  auto foreign = forward({ kCaller, *flow::Endpoint::parse("198.51.100.11:80"), flow::kSyn, 1, 0 });
  const auto actions = mAgent.onForward(mNow, 1, foreign);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  BOOST_REQUIRE(findAction<agent::DropPacket>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(drops_all_packets_once_its_zone_is_out_of_service)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones.emplace("a", config::AvailabilityZone{ "a", false });
  mAgent.apply(mNow, share(configuration));
  const auto actions =
    forwardFromCaller(flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 1, 5);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(rejects_a_configuration_with_a_lower_revision)
{
  mAgent.apply(mNow, share(makeConfiguration(3, 5)));
  mAgent.apply(mNow, share(makeConfiguration(2, 4)));
  BOOST_TEST(mAgent.revision() == 5U);
}

BOOST_AUTO_TEST_CASE(keeps_a_half_open_flow_when_a_segment_of_an_earlier_connection_arrives)
{
  forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
  receiveFromUpstream(
    flow::kSyn | flow::kAck, kUpstreamInitialSequence, kCallerInitialSequence + 1);
  const auto stale = forwardFromCaller(flow::kAck, kCallerInitialSequence - 50000, 77);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(stale) == nullptr);
  const auto acknowledged =
    forwardFromCaller(flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 1);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(acknowledged) != nullptr);
}

BOOST_AUTO_TEST_CASE(replaces_the_flow_record_when_a_restarted_upstream_accepts_a_reused_port)
{
  establish();
  forwardFromCaller(flow::kSyn, 77000, 0);
  receiveFromUpstream(flow::kSyn | flow::kAck, 0xF0000000U, 77001);
  const auto acknowledged = forwardFromCaller(flow::kAck, 77001, 0xF0000001U);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(acknowledged) != nullptr);
  BOOST_TEST(mAgent.admission().openFlows() == 1U);
}

BOOST_AUTO_TEST_CASE(forwards_a_syn_from_a_reused_port_when_its_upstream_is_leaving)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  mAgent.apply(mNow, share(configuration));
  const auto actions = forwardFromCaller(flow::kSyn, 77000, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(
  forwards_a_flow_to_the_next_candidate_when_its_upstream_does_not_answer_the_syn)
{
  for (int i = 0; i < 3; ++i, mNow += std::chrono::seconds(1)) {
    const auto delivered = forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
    BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
  }
  const auto again = forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(again) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(again) != nullptr);
}

BOOST_AUTO_TEST_CASE(forwards_packets_while_it_is_starting)
{
  establish();
  const auto segment = mAgent.onForwardWhileStarting(
    mNow, forward({ kCaller, kServiceAddress, flow::kAck, kCallerInitialSequence + 1, 5, 9 }));
  const auto* message = findAction<agent::SendMessage>(segment);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == agentOf(1).toString());
  BOOST_TEST(std::get<wire::Forward>(message->mMessage).mPossibleOwners.size() == 1U);
  const auto last =
    mAgent.onForwardWhileStarting(mNow, forward({ kCaller, kServiceAddress, flow::kSyn, 1, 0 }, 2));
  BOOST_TEST(findAction<agent::SendToCaller>(last) == nullptr);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(last) == nullptr);
}

BOOST_AUTO_TEST_CASE(admits_no_new_flow_once_it_is_stopping_and_keeps_established_flows)
{
  establish();
  mAgent.stopAcceptingFlows();
  const flow::Endpoint caller{ kCaller.mAddress, 50000 };
  const auto opened = mAgent.onForward(
    mNow, mAgent.revision(), forward({ caller, kServiceAddress, flow::kSyn, 1, 0 }));
  BOOST_TEST(findAction<agent::DeliverToUpstream>(opened) == nullptr);
  const auto delivered =
    forwardFromCaller(flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 1, 5);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
}

BOOST_AUTO_TEST_CASE(removes_its_flows_when_its_upstream_is_another_vm)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mAddress.mPort = 7002;
  mAgent.apply(mNow, share(configuration));
  BOOST_TEST(mAgent.flows().size() == 0U);
  BOOST_TEST(mAgent.admission().openFlows() == 0U);
}

BOOST_AUTO_TEST_CASE(forwards_new_flows_while_its_upstream_refuses_them)
{
  forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
  const auto refused = receiveFromUpstream(flow::kRst | flow::kAck, 0, kCallerInitialSequence + 1);
  BOOST_TEST(findAction<agent::SendToCaller>(refused) == nullptr);
  const auto again = forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
  BOOST_TEST(findAction<agent::SendMessage>(again) != nullptr);
  mNow += std::chrono::seconds(1);
  const auto retried = forwardFromCaller(flow::kSyn, kCallerInitialSequence, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(retried) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(restarted_agent, RestartedAgent)

BOOST_AUTO_TEST_CASE(queries_its_upstream_before_an_unowned_flow_is_reset)
{
  const auto actions = forwardFromCaller(flow::kAck, 11, 22, 0, 2);
  BOOST_TEST(findAction<agent::SendToCaller>(actions) == nullptr);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == agentOf(0).toString());
  BOOST_TEST((std::get<wire::Forward>(message->mMessage).mOwnershipQuery ==
              wire::OwnershipQuery::kDecisive));
}

BOOST_AUTO_TEST_CASE(adopts_a_flow_when_its_upstream_answers_a_keep_alive)
{
  const auto queried = queryOwnership(wire::OwnershipQuery::kTentative);
  BOOST_REQUIRE(queried.size() == 2U);
  const auto& keepAlive = std::get<agent::DeliverToUpstream>(queried[1]).mPacket;
  BOOST_TEST(flow::TcpPacket::parse(keepAlive)->mSequence == 10U);
  receiveFromUpstream(flow::kAck, 22, 11);
  BOOST_TEST(mAgent.flows().size() == 1U);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardFromCaller(flow::kAck, 11, 22, 5)) !=
             nullptr);
}

BOOST_AUTO_TEST_CASE(drops_its_upstreams_reset_and_denies_the_flow_after_a_tentative_query)
{
  queryOwnership(wire::OwnershipQuery::kTentative);
  BOOST_TEST(findAction<agent::SendToCaller>(receiveFromUpstream(flow::kRst, 22, 0)) == nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(forwardFromCaller(flow::kAck, 11, 22, 0, 2)) !=
             nullptr);
}

BOOST_AUTO_TEST_CASE(sends_its_upstreams_reset_to_the_caller_after_a_decisive_query)
{
  queryOwnership(wire::OwnershipQuery::kDecisive);
  BOOST_TEST(findAction<agent::SendToCaller>(receiveFromUpstream(flow::kRst, 22, 0)) != nullptr);
}

BOOST_AUTO_TEST_CASE(sends_its_upstreams_reset_to_the_caller_when_no_query_is_open)
{
  BOOST_TEST(findAction<agent::SendToCaller>(receiveFromUpstream(flow::kRst, 22, 0)) != nullptr);
}

BOOST_AUTO_TEST_CASE(queries_every_possible_owner_after_a_rolling_restart)
{
  auto packet = forward({ kCaller, kServiceAddress, flow::kAck, 11, 22 }, 2);
  packet.mPossibleOwners = { agentOf(1) };
  const auto actions = mAgent.onForward(mNow, mAgent.revision(), packet);
  BOOST_REQUIRE(actions.size() == 2U);
  for (const auto& action : actions) {
    const auto& message = std::get<agent::SendMessage>(action);
    BOOST_TEST((std::get<wire::Forward>(message.mMessage).mOwnershipQuery ==
                wire::OwnershipQuery::kTentative));
  }
}

BOOST_AUTO_TEST_CASE(keeps_an_adopted_flow_whose_caller_acknowledges_more_than_was_retransmitted)
{
  // The upstream retransmits a segment that the caller has already acknowledged; the restarted
  // agent adopts the flow with the segment's old sequence number.
  receiveFromUpstream(flow::kAck, kUpstreamInitialSequence + 1, kCallerInitialSequence + 1, 100);
  const auto delivered = forwardFromCaller(
    flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 5001, 10, 2);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(delivered) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
