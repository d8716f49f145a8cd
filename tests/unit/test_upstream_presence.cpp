#include "agent/flow_manager.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

/// Agent beside an upstream, and a caller.
struct WatchingAgent
{
  agent::Actions open(std::uint16_t aPort)
  {
    wire::Forward forward;
    forward.mIngress = *flow::Endpoint::parse("127.0.1.1:7000");
    forward.mService = config::upstreamIdentity("logbook", "");
    forward.mIsLastPage = true;
    forward.mCandidates = { agentOf(0), agentOf(1), agentOf(2) };
    const flow::Endpoint caller{ { 0x0A010101 }, aPort };
    forward.mPacket = makePacket({ caller, kServiceAddress, flow::kSyn, 1000, 0, 0 });
    return mAgent.onForward(mNow, mAgent.revision(), forward);
  }

  base::Time mNow{ 100s };
  flow::Endpoint mUpstream{ agentOf(0).mAddress, 7001 };
  agent::FlowManager mAgent{ { .mSelf = agentOf(0),
                               .mService = "logbook",
                               .mUpstreamAddress = mUpstream,
                               .mUpstreamAcceptsTcp = true,
                               .mUpstreamWatch = { 2s, 3600ms, 5s, 2500ms },
                               .mRecoveryWindow = {} } };
};

/// Agent that has lost the connection to its upstream, whose VM refuses further ones. The
/// configuration still lists the upstream.
struct EndedUpstream : WatchingAgent
{
  EndedUpstream()
  {
    mAgent.apply(mNow, share(makeConfiguration(3)));
    mAgent.onWatchAttempt(mNow, flow::ConnectionOutcome::kAccepted);
    mAgent.onUpstreamChecked(mNow, { true, true });
  }

  agent::Actions end()
  {
    mAgent.onUpstreamChecked(mNow, { false, true });
    mAgent.onWatchAttempt(mNow, flow::ConnectionOutcome::kRefused);
    mNow += 2s;
    return mAgent.onWatchAttempt(mNow, flow::ConnectionOutcome::kAccepted);
  }
};

/// Agent that was restarted when no process answered at the endpoint of its upstream, which the
/// first configuration lists. Now a process answers there.
struct RestartedAgent : WatchingAgent
{
  RestartedAgent()
  {
    mAgent.onConnectionAttempt(mNow, mUpstream, flow::ConnectionOutcome::kRefused);
    mAgent.apply(mNow, share(makeConfiguration(3)));
    mAgent.onUpstreamChecked(mNow, { false, true });
    mAgent.onWatchAttempt(mNow, flow::ConnectionOutcome::kAccepted);
  }
};

} // namespace

// Guards against requests that another service runs: an agent outlives its upstream, and an
// upstream of another service answers at the endpoint before the configuration says so.
BOOST_FIXTURE_TEST_SUITE(upstream_presence, EndedUpstream)

BOOST_AUTO_TEST_CASE(a_new_flow_goes_to_the_next_candidate_once_the_upstream_has_ended)
{
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40000)) != nullptr);
  end();
  const auto actions = open(40001);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  const auto* forwarded = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(forwarded != nullptr);
  BOOST_TEST(forwarded->mTo.toString() == agentOf(1).toString());
}

// Guards against the same if the connection to the upstream stays open when the upstream ends.
BOOST_AUTO_TEST_CASE(a_new_flow_goes_to_the_next_candidate_once_the_upstream_is_silent)
{
  for (const base::Time end = mNow + 2s; mNow < end; mNow += 100ms) {
    const auto actions = mAgent.onUpstreamChecked(mNow, { true, true });
    if (findAction<agent::WatchUpstream>(actions) != nullptr) {
      mAgent.onWatchAttempt(mNow, flow::ConnectionOutcome::kRefused);
    }
  }
  mAgent.onUpstreamChecked(mNow, { true, true });
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40001)) == nullptr);
}

// Guards against the same if the agent pauses in between.
BOOST_AUTO_TEST_CASE(a_new_flow_after_a_pause_waits_for_proof_that_the_upstream_runs)
{
  mNow += 2s;
  const auto actions = mAgent.onUpstreamChecked(mNow, { true, true });
  BOOST_TEST(findAction<agent::WatchUpstream>(actions) != nullptr);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40001)) == nullptr);
  mAgent.onWatchAttempt(mNow, flow::ConnectionOutcome::kAccepted);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40002)) != nullptr);
}

// Guards against the loss of an upstream that sends packets but accepts no further connection.
BOOST_AUTO_TEST_CASE(an_upstream_that_sends_packets_gets_new_flows)
{
  for (const base::Time end = mNow + 5s; mNow < end; mNow += 100ms) {
    const flow::Endpoint caller{ { 0x0A010101 }, 40000 };
    mAgent.onUpstreamPacket(mNow, makePacket({ kServiceAddress, caller, flow::kAck, 1, 1, 0 }));
    mAgent.onUpstreamChecked(mNow, { true, true, {}, mNow });
  }
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40001)) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_retransmitted_syn_goes_to_the_next_candidate_once_the_upstream_has_ended)
{
  open(40000);
  end();
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40000)) == nullptr);
  BOOST_TEST(mAgent.flows().size() == 0U);
}

// Guards against the same if the agent was restarted: nobody answered at its start, and the first
// configuration still lists the upstream.
BOOST_FIXTURE_TEST_CASE(a_restarted_agent_forwards_flows_of_an_upstream_that_refused_before,
                        RestartedAgent)
{
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40001)) == nullptr);
}

// Guards against the loss of a living upstream that refused that connection.
BOOST_FIXTURE_TEST_CASE(a_restarted_agent_serves_an_upstream_whose_record_is_written_again,
                        RestartedAgent)
{
  const auto actions = mAgent.onUpstreamChecked(mNow, { true, true });
  const auto* read = findAction<agent::ReadUpstreamRecord>(actions);
  BOOST_REQUIRE(read != nullptr);
  BOOST_TEST(read->mUpstream == "logbook-1");
  mAgent.onUpstreamRecord(mNow, config::UpstreamRecord{ 0, 10, 12 });
  mNow += 500ms;
  mAgent.onUpstreamChecked(mNow, { true, true });
  mAgent.onUpstreamRecord(mNow, config::UpstreamRecord{ 0, 13, 14 });
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40001)) != nullptr);
}

// Guards against opening packets for a start that the configuration lists only after its end.
BOOST_AUTO_TEST_CASE(another_start_in_the_configuration_is_served_once_it_accepts_a_connection)
{
  end();
  config::Configuration configuration = makeConfiguration(3, 2);
  config::Service& service = configuration.mServices.at("logbook");
  config::UpstreamList upstreams;
  for (config::Upstream upstream : service.mUpstreams) {
    upstream.mStartedAtMs = 5000;
    upstreams.push_back(upstream);
  }
  service.mUpstreams = upstreams;
  const auto actions = mAgent.apply(mNow, share(configuration));
  BOOST_TEST(findAction<agent::WatchUpstream>(actions) != nullptr);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40001)) == nullptr);
  mAgent.onWatchAttempt(mNow, flow::ConnectionOutcome::kAccepted);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(open(40002)) != nullptr);
}

// Guards against the loss of a living upstream that cannot be watched.
BOOST_AUTO_TEST_CASE(an_upstream_whose_endpoint_the_settings_do_not_state_is_not_watched)
{
  agent::FlowManager agent(
    { .mSelf = agentOf(0), .mService = "logbook", .mUpstreamWatch = { 2s, 3600ms, 5s, 2500ms } });
  agent.apply(mNow, share(makeConfiguration(3)));
  BOOST_TEST(findAction<telemetry::Event>(agent.onUpstreamChecked(mNow + 10s, { false, true })) ==
             nullptr);
}

BOOST_AUTO_TEST_CASE(an_opened_flow_states_what_showed_that_the_upstream_runs)
{
  mNow += 300ms;
  const auto actions = open(40000);
  const auto* event = findAction<telemetry::Event>(actions);
  BOOST_REQUIRE(event != nullptr);
  const auto has = [event](const std::string& aName, const std::string& aValue) {
    const auto& fields = event->mFields;
    return std::find(fields.begin(), fields.end(), std::pair(aName, aValue)) != fields.end();
  };
  BOOST_TEST(has("proof", "accepted_connection"));
  BOOST_TEST(has("proof_age_ms", "300"));
}

BOOST_AUTO_TEST_CASE(the_end_is_logged_once)
{
  const auto actions = end();
  const auto* event = findAction<telemetry::Event>(actions);
  BOOST_REQUIRE(event != nullptr);
  const telemetry::Event expected{ telemetry::EventKind::kUpstreamEnded,
                                   { { "upstream", "logbook-1" },
                                     { "started_at_ms", "0" },
                                     { "ended", "yes" },
                                     { "revision", "1" } } };
  BOOST_TEST((*event == expected));
  BOOST_TEST(findAction<telemetry::Event>(mAgent.onUpstreamChecked(mNow, { true, true })) ==
             nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
