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
constexpr std::uint32_t kCallerInitial = 1000;
constexpr std::uint32_t kUpstreamInitial = 500000;

/// An agent of the first of three upstreams, whose records are complete.
struct Fixture
{
  explicit Fixture(base::Duration aRecoveryWindow = {})
    : mAgent({ .mSelf = agentOf(0), .mRecoveryWindow = aRecoveryWindow })
  {
    mAgent.apply(mNow, share(makeConfiguration(3)));
  }

  wire::Forward forward(const Segment& aSegment, std::uint8_t aPosition = 0) const
  {
    wire::Forward forward;
    forward.mIngress = *flow::Endpoint::parse("127.0.1.1:7000");
    forward.mService = config::upstreamIdentity("logbook", "");
    forward.mCandidateIndex = aPosition;
    forward.mIsLastPage = true;
    forward.mCandidateDigest = candidateDigestOf(makeConfiguration(3));
    forward.mCandidates = { agentOf(0), agentOf(1), agentOf(2) };
    std::swap(forward.mCandidates[0], forward.mCandidates[aPosition]);
    forward.mPacket = makePacket(aSegment);
    return forward;
  }

  agent::Actions fromCaller(std::uint8_t aFlags,
                            std::uint32_t aSequence,
                            std::uint32_t aAcknowledgement,
                            std::size_t aPayload = 0,
                            std::uint8_t aPosition = 0)
  {
    return mAgent.onForward(
      mNow,
      mAgent.revision(),
      forward({ kCaller, kServiceAddress, aFlags, aSequence, aAcknowledgement, aPayload },
              aPosition));
  }

  agent::Actions fromUpstream(std::uint8_t aFlags,
                              std::uint32_t aSequence,
                              std::uint32_t aAcknowledgement,
                              std::size_t aPayload = 0)
  {
    return mAgent.onUpstreamPacket(
      mNow,
      makePacket({ kServiceAddress, kCaller, aFlags, aSequence, aAcknowledgement, aPayload }));
  }

  void establish()
  {
    fromCaller(flow::kSyn, kCallerInitial, 0);
    fromUpstream(flow::kSyn | flow::kAck, kUpstreamInitial, kCallerInitial + 1);
    fromCaller(flow::kAck, kCallerInitial + 1, kUpstreamInitial + 1);
  }

  base::Time mNow{ std::chrono::seconds(100) };
  agent::FlowManager mAgent;
};

/// The same just after its start beside an upstream that may have flows.
struct RestartedAgent : Fixture
{
  RestartedAgent() : Fixture(std::chrono::hours(12)) {}

  /// What the agent does with a packet that no agent has a record of, once it is asked.
  agent::Actions ask(wire::OwnershipQuery aInquiry)
  {
    auto question = forward({ kCaller, kServiceAddress, flow::kAck, 11, 22 });
    question.mOwnershipQuery = aInquiry;
    return mAgent.onForward(mNow, mAgent.revision(), question);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_decisions, Fixture)

BOOST_AUTO_TEST_CASE(admits_a_new_flow_and_delivers_its_segments)
{
  const auto opened = fromCaller(flow::kSyn, kCallerInitial, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(opened) != nullptr);
  fromUpstream(flow::kSyn | flow::kAck, kUpstreamInitial, kCallerInitial + 1);
  const auto delivered = fromCaller(flow::kAck, kCallerInitial + 1, kUpstreamInitial + 1, 10);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
  BOOST_TEST(mAgent.admission().activeRequests() == 1U);
}

BOOST_AUTO_TEST_CASE(strips_data_from_a_syn)
{
  const auto opened = fromCaller(flow::kSyn, kCallerInitial, 0, 100);
  const auto* delivered = findAction<agent::DeliverToUpstream>(opened);
  BOOST_REQUIRE(delivered != nullptr);
  BOOST_TEST(flow::TcpPacket::parse(delivered->mPacket)->mPayloadLength == 0U);
}

BOOST_AUTO_TEST_CASE(passes_a_segment_without_a_record_to_the_next_candidate)
{
  const auto passed = fromCaller(flow::kAck, 1, 2);
  const auto* message = findAction<agent::SendMessage>(passed);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == agentOf(1).toString());
}

BOOST_AUTO_TEST_CASE(gives_a_half_open_flow_up_when_the_acknowledgement_is_for_another_upstream)
{
  fromCaller(flow::kSyn, kCallerInitial, 0);
  fromUpstream(flow::kSyn | flow::kAck, kUpstreamInitial, kCallerInitial + 1);
  const auto actions = fromCaller(flow::kAck, kCallerInitial + 1, 77);
  const auto* reset = findAction<agent::DeliverToUpstream>(actions);
  BOOST_REQUIRE(reset != nullptr);
  BOOST_TEST(flow::TcpPacket::parse(reset->mPacket)->has(flow::kRst));
  BOOST_TEST(findAction<agent::SendMessage>(actions) != nullptr);
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(resets_an_unowned_segment_only_when_every_candidate_denied_it)
{
  const auto denied = fromCaller(flow::kAck, 1, 2, 0, 2);
  BOOST_TEST(findAction<agent::SendToCaller>(denied) != nullptr);
  auto incomplete = forward({ kCaller, kServiceAddress, flow::kAck, 1, 2 }, 2);
  incomplete.mIsDeniedByAll = false;
  const auto dropped = mAgent.onForward(mNow, mAgent.revision(), incomplete);
  BOOST_TEST(findAction<agent::SendToCaller>(dropped) == nullptr);
}

BOOST_AUTO_TEST_CASE(refuses_a_syn_at_the_end_of_the_chain)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  mAgent.apply(mNow, share(configuration));
  const auto refused = fromCaller(flow::kSyn, kCallerInitial, 0, 0, 2);
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
  const auto delivered = fromCaller(flow::kAck, kCallerInitial + 1, kUpstreamInitial + 1, 5);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
}

BOOST_AUTO_TEST_CASE(drops_a_packet_for_a_foreign_service)
{
  auto foreign = forward({ kCaller, *flow::Endpoint::parse("198.51.100.11:80"), flow::kSyn, 1, 0 });
  const auto actions = mAgent.onForward(mNow, 1, foreign);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  BOOST_REQUIRE(findAction<agent::DropPacket>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(drops_everything_once_its_zone_is_out)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones.emplace("a", config::AvailabilityZone{ "a", false });
  mAgent.apply(mNow, share(configuration));
  const auto actions = fromCaller(flow::kAck, kCallerInitial + 1, kUpstreamInitial + 1, 5);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(never_goes_back_to_a_lower_revision)
{
  mAgent.apply(mNow, share(makeConfiguration(3, 5)));
  mAgent.apply(mNow, share(makeConfiguration(2, 4)));
  BOOST_TEST(mAgent.revision() == 5U);
}

BOOST_AUTO_TEST_CASE(keeps_a_half_open_flow_when_a_segment_of_an_earlier_connection_arrives)
{
  fromCaller(flow::kSyn, kCallerInitial, 0);
  fromUpstream(flow::kSyn | flow::kAck, kUpstreamInitial, kCallerInitial + 1);
  const auto stale = fromCaller(flow::kAck, kCallerInitial - 50000, 77);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(stale) == nullptr);
  const auto acknowledged = fromCaller(flow::kAck, kCallerInitial + 1, kUpstreamInitial + 1);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(acknowledged) != nullptr);
}

BOOST_AUTO_TEST_CASE(renews_its_record_when_a_restarted_upstream_accepts_a_reused_port)
{
  establish();
  fromCaller(flow::kSyn, 77000, 0);
  fromUpstream(flow::kSyn | flow::kAck, 0xF0000000U, 77001);
  const auto acknowledged = fromCaller(flow::kAck, 77001, 0xF0000001U);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(acknowledged) != nullptr);
  BOOST_TEST(mAgent.admission().openFlows() == 1U);
}

BOOST_AUTO_TEST_CASE(gives_no_reused_port_to_a_leaving_upstream_with_an_old_record)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  mAgent.apply(mNow, share(configuration));
  const auto actions = fromCaller(flow::kSyn, 77000, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(moves_an_unanswered_flow_on_when_its_syn_is_sent_again)
{
  for (int i = 0; i < 3; ++i, mNow += std::chrono::seconds(1)) {
    const auto delivered = fromCaller(flow::kSyn, kCallerInitial, 0);
    BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
  }
  const auto again = fromCaller(flow::kSyn, kCallerInitial, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(again) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(again) != nullptr);
}

BOOST_AUTO_TEST_CASE(passes_packets_on_while_it_is_starting)
{
  establish();
  const auto segment = mAgent.onForwardWhileStarting(
    mNow, forward({ kCaller, kServiceAddress, flow::kAck, kCallerInitial + 1, 5, 9 }));
  const auto* message = findAction<agent::SendMessage>(segment);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == agentOf(1).toString());
  BOOST_TEST(std::get<wire::Forward>(message->mMessage).mPossibleOwners.size() == 1U);
  const auto last =
    mAgent.onForwardWhileStarting(mNow, forward({ kCaller, kServiceAddress, flow::kSyn, 1, 0 }, 2));
  BOOST_TEST(findAction<agent::SendToCaller>(last) == nullptr);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(last) == nullptr);
}

BOOST_AUTO_TEST_CASE(admits_nothing_more_once_it_is_stopping_and_keeps_what_it_has)
{
  establish();
  mAgent.stopAcceptingFlows();
  const flow::Endpoint caller{ kCaller.mAddress, 50000 };
  const auto opened = mAgent.onForward(
    mNow, mAgent.revision(), forward({ caller, kServiceAddress, flow::kSyn, 1, 0 }));
  BOOST_TEST(findAction<agent::DeliverToUpstream>(opened) == nullptr);
  const auto delivered = fromCaller(flow::kAck, kCallerInitial + 1, kUpstreamInitial + 1, 5);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
}

BOOST_AUTO_TEST_CASE(forgets_its_flows_when_its_upstream_is_another_vm)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mAddress.mPort = 7002;
  mAgent.apply(mNow, share(configuration));
  BOOST_TEST(mAgent.flows().size() == 0U);
  BOOST_TEST(mAgent.admission().openFlows() == 0U);
}

BOOST_AUTO_TEST_CASE(sends_new_flows_elsewhere_while_its_upstream_refuses_them)
{
  fromCaller(flow::kSyn, kCallerInitial, 0);
  const auto held = fromUpstream(flow::kRst | flow::kAck, 0, kCallerInitial + 1);
  BOOST_TEST(findAction<agent::SendToCaller>(held) == nullptr);
  const auto again = fromCaller(flow::kSyn, kCallerInitial, 0);
  BOOST_TEST(findAction<agent::SendMessage>(again) != nullptr);
  mNow += std::chrono::seconds(1);
  const auto retried = fromCaller(flow::kSyn, kCallerInitial, 0);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(retried) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(restarted_agent, RestartedAgent)

BOOST_AUTO_TEST_CASE(has_its_upstream_asked_where_a_reset_would_follow)
{
  const auto actions = fromCaller(flow::kAck, 11, 22, 0, 2);
  BOOST_TEST(findAction<agent::SendToCaller>(actions) == nullptr);
  const auto* message = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(message != nullptr);
  BOOST_TEST(message->mTo.toString() == agentOf(0).toString());
  BOOST_TEST((std::get<wire::Forward>(message->mMessage).mOwnershipQuery ==
              wire::OwnershipQuery::kDecisive));
}

BOOST_AUTO_TEST_CASE(makes_its_upstream_answer_for_a_flow_of_which_only_the_caller_is_heard)
{
  const auto asked = ask(wire::OwnershipQuery::kTentative);
  BOOST_REQUIRE(asked.size() == 2U);
  const auto& keepAlive = std::get<agent::DeliverToUpstream>(asked[1]).mPacket;
  BOOST_TEST(flow::TcpPacket::parse(keepAlive)->mSequence == 10U);
  fromUpstream(flow::kAck, 22, 11);
  BOOST_TEST(mAgent.flows().size() == 1U);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(fromCaller(flow::kAck, 11, 22, 5)) != nullptr);
}

BOOST_AUTO_TEST_CASE(holds_back_its_upstreams_reset_and_denies_the_flow_from_then_on)
{
  ask(wire::OwnershipQuery::kTentative);
  BOOST_TEST(findAction<agent::SendToCaller>(fromUpstream(flow::kRst, 22, 0)) == nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(fromCaller(flow::kAck, 11, 22, 0, 2)) != nullptr);
}

BOOST_AUTO_TEST_CASE(lets_its_upstreams_reset_through_when_everyone_else_denied_the_flow)
{
  ask(wire::OwnershipQuery::kDecisive);
  BOOST_TEST(findAction<agent::SendToCaller>(fromUpstream(flow::kRst, 22, 0)) != nullptr);
}

BOOST_AUTO_TEST_CASE(lets_a_reset_through_that_answers_no_question)
{
  BOOST_TEST(findAction<agent::SendToCaller>(fromUpstream(flow::kRst, 22, 0)) != nullptr);
}

BOOST_AUTO_TEST_CASE(is_one_of_several_to_be_asked_after_a_rolling_restart)
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

BOOST_AUTO_TEST_CASE(keeps_an_adopted_flow_whose_caller_acknowledges_more_than_was_sent_again)
{
  // The upstream sends an old segment again to the agent that started beside it; the caller has it.
  fromUpstream(flow::kAck, kUpstreamInitial + 1, kCallerInitial + 1, 100);
  const auto delivered = fromCaller(flow::kAck, kCallerInitial + 1, kUpstreamInitial + 5001, 10, 2);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(delivered) != nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(delivered) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
