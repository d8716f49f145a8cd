#include "unit/support/agent_group.hpp"

#include <algorithm>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kUpstreams = 136;

config::Configuration makeComplete(std::uint32_t aCount, std::uint64_t aRevision = 1)
{
  auto configuration = makeConfiguration(aCount, aRevision);
  configuration.mIsRetainedStateComplete = true;
  return configuration;
}

struct Fixture : AgentGroup
{
  Fixture() { addAll(mConfiguration); }

  /// Agent that the packets of aFlow visit only if the owner is looked up: the last rank.
  flow::Endpoint lastRankedAgent(const flow::FlowKey& aFlow) const
  {
    const routing::ServiceTable table(share(mConfiguration));
    return table.find("logbook")->candidates(aFlow.hash(), false, kUpstreams).back();
  }

  config::Upstream& upstreamOf(flow::Endpoint aAgent)
  {
    auto& upstreams = mConfiguration.mServices.at("logbook").mUpstreams;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      if (std::as_const(upstreams)[i].mAgent == aAgent) {
        return upstreams[i];
      }
    }
    throw std::logic_error("no upstream with this agent");
  }

  config::Configuration mConfiguration = makeComplete(kUpstreams);
  flow::FlowKey mFlow = flowOf(1);
  flow::Endpoint mLastRanked = lastRankedAgent(mFlow);
};

/// Value of a field of a log line; empty if the line lacks it.
std::string fieldOf(const telemetry::Event& aEvent, std::string_view aName)
{
  const auto found = std::find_if(aEvent.mFields.begin(),
                                  aEvent.mFields.end(),
                                  [&](const auto& aField) { return aField.first == aName; });
  return found == aEvent.mFields.end() ? std::string() : found->second;
}

} // namespace

// Guards against callers that wait for an answer on a flow that no upstream has: a packet that
// visits all agents one after the other is lost on the way or meets agents whose configurations
// differ, so that the flow is never reset.
BOOST_AUTO_TEST_SUITE(owner_lookups)

// Pattern: everything loses power, the upstreams start again, and a caller sends into a dead flow.
BOOST_DATA_TEST_CASE(a_dead_flow_is_reset_at_once_at_any_size,
                     boost::unit_test::data::make({ 10, 30, 136, 500 }),
                     size)
{
  AgentGroup group;
  const auto count = static_cast<std::uint32_t>(size);
  group.addAll(makeComplete(count));
  group.sendFromCaller(AgentGroup::flowOf(1));
  BOOST_TEST(group.mReset.size() == 1U);
  BOOST_TEST(group.mForwardMessages <= routing::kCandidatesPerPage + 2);
  BOOST_TEST(group.mLookupMessages <= 2U * count);
}

// Pattern: everything loses power and all callers send into their dead flows within a second.
BOOST_FIXTURE_TEST_CASE(the_lookups_of_many_dead_flows_share_their_messages, Fixture)
{
  constexpr std::uint32_t kFlows = 2000;
  constexpr std::uint32_t kFlowsPerStep = 200;
  constexpr std::size_t kLookupAgents = 16;
  constexpr std::size_t kRoundsPerSecond = 20;
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    sendFromCaller(flowOf(flow));
    if (flow % kFlowsPerStep == kFlowsPerStep - 1) {
      advance(100ms);
    }
  }
  advance(1s);
  BOOST_TEST(mReset.size() == kFlows);
  BOOST_TEST(mForwardMessages <= kFlows * (routing::kCandidatesPerPage + 2));
  BOOST_TEST(mLookupMessages <= 2 * kLookupAgents * kRoundsPerSecond * 2 * kUpstreams);
}

// Pattern: balancers are added under a hash that moves nearly all flows, and no owner is cached.
BOOST_FIXTURE_TEST_CASE(an_owner_of_the_last_rank_gets_the_packet_in_one_round_trip, Fixture)
{
  openFlow(mLastRanked, mFlow);
  sendFromCaller(mFlow);
  BOOST_TEST((mDelivered.at(mFlow) == mLastRanked));
  BOOST_TEST(mReset.empty());
  BOOST_TEST(mForwardMessages <= routing::kCandidatesPerPage + 3);
}

BOOST_FIXTURE_TEST_CASE(all_packets_that_arrive_during_a_lookup_reach_the_owner, Fixture)
{
  constexpr std::size_t kPackets = 5;
  openFlow(mLastRanked, mFlow);
  mSilent = { mLastRanked };
  for (std::size_t packet = 0; packet < kPackets; ++packet) {
    sendFromCaller(mFlow);
  }
  mSilent.clear();
  advance(1s);
  BOOST_TEST(mDeliveries == kPackets);
  BOOST_TEST((mDelivered.at(mFlow) == mLastRanked));
}

BOOST_FIXTURE_TEST_CASE(a_flow_is_not_reset_while_an_agent_that_may_own_it_is_silent, Fixture)
{
  openFlow(mLastRanked, mFlow);
  mSilent = { mLastRanked };
  for (int attempt = 0; attempt < 5; ++attempt) {
    sendFromCaller(mFlow);
    advance(1s);
  }
  BOOST_TEST(mReset.empty());
  mSilent.clear();
  advance(5s);
  sendFromCaller(mFlow);
  advance(1s);
  BOOST_TEST(mReset.empty());
  BOOST_TEST((mDelivered.at(mFlow) == mLastRanked));
}

// Pattern: a release takes upstreams and their VMs away, then other flows die. Operators treat an
// upstream that is no longer registered as gone.
BOOST_FIXTURE_TEST_CASE(a_removed_upstream_whose_vm_is_gone_delays_a_reset_by_about_a_second,
                        Fixture)
{
  upstreamOf(mLastRanked).mState = config::UpstreamState::kRemoved;
  mConfiguration.mRevision = 2;
  mBalancer.apply(share(mConfiguration));
  applyToAgents(mConfiguration);
  mSilent = { mLastRanked };
  sendFromCaller(mFlow);
  advance(900ms);
  BOOST_TEST(mReset.empty());
  advance(500ms);
  BOOST_TEST(mReset.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_removed_upstream_that_still_runs_keeps_its_flows, Fixture)
{
  openFlow(mLastRanked, mFlow);
  upstreamOf(mLastRanked).mState = config::UpstreamState::kRemoved;
  mConfiguration.mRevision = 2;
  mBalancer.apply(share(mConfiguration));
  applyToAgents(mConfiguration);
  sendFromCaller(mFlow);
  advance(3s);
  BOOST_TEST(mReset.empty());
  BOOST_TEST((mDelivered.at(mFlow) == mLastRanked));
}

// A message or its reply may be lost now and then.
BOOST_FIXTURE_TEST_CASE(a_removed_upstream_that_replies_between_losses_keeps_its_flows, Fixture)
{
  openFlow(mLastRanked, mFlow);
  upstreamOf(mLastRanked).mState = config::UpstreamState::kRemoved;
  mConfiguration.mRevision = 2;
  mBalancer.apply(share(mConfiguration));
  applyToAgents(mConfiguration);
  for (std::uint32_t second = 0; second < 10; ++second) {
    mSilent = { mLastRanked };
    sendFromCaller(flowOf(2 + second)); // keeps the lookups going
    sendFromCaller(mFlow);
    advance(600ms);
    mSilent.clear();
    advance(400ms);
  }
  BOOST_TEST(!mReset.contains(mFlow));
  BOOST_TEST((mDelivered.at(mFlow) == mLastRanked));
}

// Guards against resets by an agent that does not list the owner yet.
BOOST_FIXTURE_TEST_CASE(a_flow_is_not_reset_while_another_agent_has_a_newer_configuration, Fixture)
{
  auto newer = makeComplete(kUpstreams + 1, 2);
  addAgent(agentOf(kUpstreams));
  mAgents.at(agentOf(kUpstreams))->apply(kAppliedAt, share(newer));
  giveFlow(agentOf(kUpstreams), mFlow);
  mAgents.at(mLastRanked)->apply(kAppliedAt, share(newer));
  sendFromCaller(mFlow);
  advance(1s);
  BOOST_TEST(mReset.empty());
  openFlow(agentOf(kUpstreams), mFlow);
  applyToAgents(newer);
  advance(1s);
  BOOST_TEST(mReset.empty());
  BOOST_TEST((mDelivered.at(mFlow) == agentOf(kUpstreams)));
}

// Configurations change all the time while a fleet starts. A denial holds under any of them.
BOOST_FIXTURE_TEST_CASE(agents_with_an_older_configuration_can_deny_a_flow, Fixture)
{
  const auto newer = makeComplete(kUpstreams, 2);
  bool isNewer = false;
  for (auto& [endpoint, agent] : mAgents) {
    isNewer = !isNewer;
    if (isNewer) {
      agent->apply(kAppliedAt, share(newer));
    }
  }
  sendFromCaller(mFlow);
  advance(300ms);
  applyToAgents(newer);
  advance(300ms);
  BOOST_TEST(mReset.size() == 1U);
}

// Pattern: all processes are killed and started again, and the upstreams live.
BOOST_FIXTURE_TEST_CASE(agents_that_have_just_started_deny_a_flow_once_its_packets_are_returned,
                        Fixture)
{
  for (std::uint32_t i = 0; i < kUpstreams; ++i) {
    restartAgent(agentOf(i), mConfiguration);
  }
  sendFromCaller(mFlow);
  advance(500ms);
  BOOST_TEST(mReset.size() == 1U);
  BOOST_TEST(mForwardMessages <= kUpstreams + 2 * routing::kCandidatesPerPage);
}

BOOST_FIXTURE_TEST_CASE(a_flow_reaches_its_upstream_beside_an_agent_that_has_just_started, Fixture)
{
  for (std::uint32_t i = 0; i < kUpstreams; ++i) {
    restartAgent(agentOf(i), mConfiguration);
  }
  giveFlow(mLastRanked, mFlow);
  sendFromCaller(mFlow);
  advance(3s);
  BOOST_TEST(mReset.empty());
  BOOST_TEST((mDelivered.at(mFlow) == mLastRanked));
}

// During an upgrade, agents of an earlier version do not reply to lookups.
BOOST_FIXTURE_TEST_CASE(an_owner_that_does_not_know_lookups_gets_the_packets, Fixture)
{
  openFlow(mLastRanked, mFlow);
  mIgnoresLookups = { mLastRanked };
  sendFromCaller(mFlow);
  advance(1s);
  BOOST_TEST((mDelivered.at(mFlow) == mLastRanked));
  BOOST_TEST(mReset.empty());
}

BOOST_FIXTURE_TEST_CASE(a_flow_is_not_reset_without_the_complete_retained_state, Fixture)
{
  mConfiguration.mIsRetainedStateComplete = false;
  applyToAgents(mConfiguration);
  sendFromCaller(mFlow);
  advance(4s);
  BOOST_TEST(mReset.empty());
}

/// Zone "b" is taken out of service.
struct ZoneOutFixture : Fixture
{
  void takeZoneOut()
  {
    mConfiguration.mZones["b"] = { "b", false };
    mConfiguration.mRevision = 2;
    mBalancer.apply(share(mConfiguration));
    applyToAgents(mConfiguration);
  }
};

BOOST_FIXTURE_TEST_CASE(a_flow_in_a_zone_out_of_service_is_neither_reset_nor_delivered,
                        ZoneOutFixture)
{
  openFlow(agentOf(1), mFlow); // in zone "b"
  takeZoneOut();
  for (int packet = 0; packet < 5; ++packet) {
    sendFromCaller(mFlow);
    advance(1s);
  }
  BOOST_TEST(mReset.empty());
  BOOST_TEST(mDeliveries == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_flow_is_not_reset_while_an_agent_out_of_service_may_own_it,
                        ZoneOutFixture)
{
  takeZoneOut();
  restartAgent(agentOf(1), mConfiguration);
  giveFlow(agentOf(1), mFlow);
  sendFromCaller(mFlow);
  advance(4s);
  BOOST_TEST(mReset.empty());
}

// Pattern: a zone is taken out of service, then upstreams elsewhere end. The callers of their flows
// would wait until their deadline.
BOOST_FIXTURE_TEST_CASE(a_dead_flow_is_reset_while_a_zone_is_out_of_service, ZoneOutFixture)
{
  takeZoneOut();
  sendFromCaller(mFlow);
  advance(200ms);
  BOOST_TEST(mReset.size() == 1U);
}

// Guards against packets of living flows that reach many other upstreams: during an evacuation, all
// agents are stopped and started in turn.
BOOST_FIXTURE_TEST_CASE(packets_for_a_zone_out_of_service_are_not_copied_to_other_upstreams,
                        ZoneOutFixture)
{
  takeZoneOut();
  for (std::uint32_t i = 0; i < kUpstreams; ++i) {
    restartAgent(agentOf(i), mConfiguration);
  }
  giveFlow(agentOf(1), mFlow);
  for (int packet = 0; packet < 5; ++packet) {
    sendFromCaller(mFlow);
    advance(400ms);
  }
  BOOST_TEST(mReset.empty());
  BOOST_TEST(mReturnedPackets < 3U);
}

// Pattern: a zone is emptied, and its VMs are taken away one after the other.
BOOST_FIXTURE_TEST_CASE(
  a_removed_upstream_out_of_service_whose_vm_is_gone_delays_a_reset_by_a_second,
  ZoneOutFixture)
{
  upstreamOf(agentOf(1)).mState = config::UpstreamState::kRemoved;
  takeZoneOut();
  mSilent = { agentOf(1) };
  sendFromCaller(mFlow);
  advance(900ms);
  BOOST_TEST(mReset.empty());
  advance(500ms);
  BOOST_TEST(mReset.size() == 1U);
}

// Guards against resets whose log line does not show whether an agent was ruled out by its denial
// or by its silence.
BOOST_FIXTURE_TEST_CASE(the_log_line_of_a_reset_that_all_agents_agree_to_counts_none_as_gone,
                        ZoneOutFixture)
{
  takeZoneOut();
  sendFromCaller(mFlow);
  advance(200ms);
  BOOST_REQUIRE(mResetEvents.size() == 1U);
  BOOST_TEST(fieldOf(mResetEvents[0], "candidates") == std::to_string(kUpstreams));
  BOOST_TEST(fieldOf(mResetEvents[0], "gone") == "0");
  BOOST_TEST(fieldOf(mResetEvents[0], "first_gone") == "none");
}

BOOST_FIXTURE_TEST_CASE(the_log_line_of_a_reset_names_an_agent_that_counts_as_gone, ZoneOutFixture)
{
  upstreamOf(agentOf(1)).mState = config::UpstreamState::kRemoved;
  takeZoneOut();
  mSilent = { agentOf(1) };
  sendFromCaller(mFlow);
  advance(1500ms);
  BOOST_REQUIRE(mResetEvents.size() == 1U);
  BOOST_TEST(fieldOf(mResetEvents[0], "candidates") == std::to_string(kUpstreams - 1));
  BOOST_TEST(fieldOf(mResetEvents[0], "gone") == "1");
  BOOST_TEST(fieldOf(mResetEvents[0], "first_gone") == agentOf(1).toString());
}

// Pattern: an agent restarts beside a living upstream while another zone is out of service. The
// balancer still has the owner of the flow in its cache.
BOOST_FIXTURE_TEST_CASE(a_flow_beside_a_new_agent_goes_on_while_another_zone_is_out, ZoneOutFixture)
{
  openFlow(agentOf(0), mFlow);
  mBalancer.onOwnerUpdate(mNow, { mFlow, agentOf(0) });
  takeZoneOut();
  restartAgent(agentOf(0), mConfiguration);
  sendFromCaller(mFlow);
  BOOST_TEST((mDelivered.at(mFlow) == agentOf(0)));
  BOOST_TEST(mReset.empty());
}

/// Lookups of one agent beside which there are two others.
struct SingleFixture
{
  agent::Actions start(std::uint32_t aFlow)
  {
    flow::TcpPacket packet;
    packet.mSource = AgentGroup::flowOf(aFlow).mCaller;
    packet.mDestination = kServiceAddress;
    packet.mFlags = flow::kAck;
    wire::Forward forward;
    forward.mPacket = flow::Bytes(platform::kHeaderBytes);
    routing::CandidateServices services;
    mTable.servicesForEstablishedFlow(kServiceAddress, 0, services);
    forward.mCandidateDigest = routing::listedDigest(services);
    return mLookups.start(mNow, packet, forward);
  }

  agent::Actions reply(std::uint32_t aAgent,
                       std::uint32_t aRound,
                       std::vector<wire::FlowOwnership> aOwnerships)
  {
    return mLookups.onReply(mNow, agentOf(aAgent), 1, { aRound, std::move(aOwnerships) });
  }

  static std::size_t dropCount(const agent::Actions& aActions)
  {
    return static_cast<std::size_t>(
      std::count_if(aActions.begin(), aActions.end(), [](const agent::Action& aAction) {
        return std::holds_alternative<agent::DropPacket>(aAction);
      }));
  }

  base::Time mNow{ 100s };
  membership::FailureDetector mFailureDetector;
  flow::PacketFormat mFormat = platform::packetFormat();
  routing::ServiceTable mTable{ share(makeComplete(3)) };
  agent::OwnerLookups mLookups{ agentOf(0),
                                mFailureDetector,
                                mFormat,
                                mTable,
                                [](base::Time, const flow::FlowKey&) {
                                  return wire::FlowOwnership::kDenied;
                                } };
};

BOOST_FIXTURE_TEST_CASE(replies_that_answer_no_query_are_ignored, SingleFixture)
{
  using wire::FlowOwnership;
  start(1);
  BOOST_TEST(reply(1, 2, { FlowOwnership::kOwned }).empty());                        // round
  BOOST_TEST(reply(1, 1, { FlowOwnership::kOwned, FlowOwnership::kOwned }).empty()); // size
  BOOST_TEST(reply(7, 1, { FlowOwnership::kOwned }).empty());                        // sender
  BOOST_TEST(reply(1, 1, { FlowOwnership::kDenied }).empty());
  BOOST_TEST(reply(1, 1, { FlowOwnership::kOwned }).empty()); // duplicate
  BOOST_TEST(findAction<agent::SendToCaller>(reply(2, 1, { FlowOwnership::kDenied })) != nullptr);
  BOOST_TEST(mLookups.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(waiting_flows_and_packets_are_bounded, SingleFixture)
{
  constexpr std::uint32_t kAttempts = 3000;
  std::size_t drops = 0;
  for (std::uint32_t flow = 0; flow < kAttempts; ++flow) {
    drops += dropCount(start(flow));
  }
  BOOST_TEST(mLookups.size() == 512U);
  BOOST_TEST(drops == kAttempts - 512U);
  for (std::uint32_t packet = 0; packet < kAttempts; ++packet) {
    drops += dropCount(start(1));
  }
  BOOST_TEST(drops == 2 * kAttempts - 512U - 15U);
}

// Pattern: everything loses power, and some VMs do not come back. Waiting for their agents in each
// round would delay the resets of all dead flows.
BOOST_FIXTURE_TEST_CASE(a_round_does_not_wait_for_agents_that_left_the_round_before_unanswered,
                        SingleFixture)
{
  using wire::FlowOwnership;
  start(1);
  reply(1, 1, { FlowOwnership::kUnknown });
  BOOST_TEST(mLookups.onTimer(mNow + 199ms).empty());
  mNow += 200ms;
  mLookups.onTimer(mNow); // ends the first round
  mNow += 150ms;
  BOOST_TEST(!mLookups.onTimer(mNow).empty()); // the second round
  reply(1, 2, { FlowOwnership::kUnknown });
  mNow += 150ms;
  BOOST_TEST(!mLookups.onTimer(mNow).empty()); // it has ended: a third one starts
}

// Pattern: agents with a fraction of a core reply late under load.
BOOST_FIXTURE_TEST_CASE(a_late_denial_counts, SingleFixture)
{
  using wire::FlowOwnership;
  start(1);
  reply(1, 1, { FlowOwnership::kDenied });
  mNow += 200ms;
  mLookups.onTimer(mNow);
  mNow += 50ms;
  BOOST_TEST(reply(2, 1, { FlowOwnership::kDenied }).empty());
  mNow += 100ms;
  BOOST_TEST(findAction<agent::SendToCaller>(mLookups.onTimer(mNow)) != nullptr);
}

// Guards against the reset of a living flow: its caller has used the port of an earlier flow again,
// and a late reply is about that one.
BOOST_FIXTURE_TEST_CASE(a_late_denial_of_an_earlier_flow_of_the_port_does_not_count, SingleFixture)
{
  using wire::FlowOwnership;
  start(1);
  reply(1, 1, { FlowOwnership::kOwned });
  mNow += 200ms;
  mLookups.onTimer(mNow);
  mNow += 200ms;
  start(1); // of the upstream of agent 2
  reply(2, 1, { FlowOwnership::kDenied });
  reply(1, 2, { FlowOwnership::kDenied });
  mNow += 200ms; // the query to agent 2 takes longer
  BOOST_TEST(findAction<agent::SendToCaller>(mLookups.onTimer(mNow)) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(reply(2, 2, { FlowOwnership::kOwned })) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_reply_after_more_than_a_second_is_ignored, SingleFixture)
{
  using wire::FlowOwnership;
  start(1);
  reply(1, 1, { FlowOwnership::kDenied });
  mNow += 200ms;
  mLookups.onTimer(mNow);
  mNow += 801ms;
  reply(2, 1, { FlowOwnership::kDenied });
  BOOST_TEST(findAction<agent::SendToCaller>(mLookups.onTimer(mNow)) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_lookup_that_stays_unanswered_ends_after_three_seconds, SingleFixture)
{
  start(1);
  std::size_t drops = 0;
  for (int tick = 0; tick < 40; ++tick) {
    mNow += 100ms;
    drops += dropCount(mLookups.onTimer(mNow));
  }
  BOOST_TEST(mLookups.size() == 0U);
  BOOST_TEST(drops == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
