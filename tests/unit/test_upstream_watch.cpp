#include "agent/upstream_watch.hpp"
#include "config/revision.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

using flow::ConnectionOutcome;

const agent::ListedStart kStart{ 7, 1000 };
const agent::ListedStart kNextStart{ 7, 5000 };

/// Watch of a listed upstream whose connection is open, by a confirmed configuration.
struct Fixture
{
  Fixture()
  {
    mWatch.onConfirmed();
    mWatch.list(mNow, kStart);
    mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  }

  /// Checks a closed connection and tries to connect, every 100 ms.
  void pass(base::Duration aTime, ConnectionOutcome aOutcome)
  {
    for (const base::Time end = mNow + aTime; mNow < end; mNow += 100ms) {
      mWatch.onConnectionChecked(mNow, false, mNow);
      mWatch.onAttempt(mNow, aOutcome);
    }
  }

  /// Checks a connection that stays open, every 100 ms, and makes each attempt that is due.
  /// @return the number of attempts
  int passWhileOpen(base::Duration aTime, ConnectionOutcome aOutcome, bool aSendsPackets = false)
  {
    int attempts = 0;
    for (const base::Time end = mNow + aTime; mNow < end; mNow += 100ms) {
      if (aSendsPackets) {
        mWatch.onPacket();
      }
      mWatch.onConnectionChecked(mNow, true, mNow);
      if (mWatch.startAttempt(mNow)) {
        mWatch.onAttempt(mNow, aOutcome);
        ++attempts;
      }
    }
    return attempts;
  }

  /// Reads the record every 500 ms while a process answers at the endpoint.
  void read(agent::UpstreamWatch& aWatch, const std::vector<config::UpstreamRecord>& aRecords)
  {
    for (const config::UpstreamRecord& record : aRecords) {
      aWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
      BOOST_REQUIRE(aWatch.startRecordRead(mNow));
      aWatch.onRecord(mNow, record);
      mNow += 500ms;
    }
  }

  base::Time mNow{ 100s };
  agent::UpstreamWatch mWatch{ { 2s, 3600ms, 5s, 2500ms } };
  agent::UpstreamWatch mRestarted{ { 2s, 3600ms, 5s, 2500ms } }; ///< that of a restarted agent
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_watch, Fixture)

// Guards against opening packets for an upstream that has ended, at whose endpoint another service
// answers.
BOOST_AUTO_TEST_CASE(an_upstream_has_ended_if_its_endpoint_refuses_for_the_reuse_delay)
{
  pass(1900ms, ConnectionOutcome::kRefused);
  BOOST_TEST(!mWatch.hasEnded(mNow));
  pass(300ms, ConnectionOutcome::kRefused);
  BOOST_TEST(mWatch.hasEnded(mNow));
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against the loss of an upstream that restarts quickly.
BOOST_AUTO_TEST_CASE(an_upstream_that_accepts_again_within_the_reuse_delay_has_not_ended)
{
  pass(1800ms, ConnectionOutcome::kRefused);
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  pass(1800ms, ConnectionOutcome::kRefused);
  BOOST_TEST(!mWatch.hasEnded(mNow));
}

// Guards against a process that does not run while the deadline of its attempt passes, and takes
// the timeout for a busy upstream.
BOOST_AUTO_TEST_CASE(a_failed_attempt_does_not_prove_that_the_upstream_runs)
{
  pass(1800ms, ConnectionOutcome::kFailed);
  BOOST_TEST(!mWatch.hasEnded(mNow));
  pass(400ms, ConnectionOutcome::kFailed);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against the loss of an upstream that closes idle connections, and against many connections
// to one that closes each.
BOOST_AUTO_TEST_CASE(a_closed_connection_is_opened_again_at_a_bounded_rate)
{
  int attempts = 0;
  for (const base::Time end = mNow + 10s; mNow < end; mNow += 100ms) {
    mWatch.onConnectionChecked(mNow, false, mNow);
    if (mWatch.startAttempt(mNow)) {
      mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
      ++attempts;
    }
  }
  BOOST_TEST(!mWatch.hasEnded(mNow));
  BOOST_TEST(attempts == 19);
}

// Guards against opening packets after a pause of the agent, in which the endpoint went to another
// service.
BOOST_AUTO_TEST_CASE(a_pause_of_the_agent_does_not_extend_the_life_of_the_upstream)
{
  mNow += 3s;
  mWatch.onConnectionChecked(mNow, false, mNow);
  BOOST_TEST(mWatch.hasEnded(mNow));
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against opening packets for an upstream that ended without closing its connections, at
// whose endpoint another service answers.
BOOST_AUTO_TEST_CASE(a_silent_upstream_has_ended_although_its_connection_stays_open)
{
  passWhileOpen(1s, ConnectionOutcome::kAccepted, true);
  passWhileOpen(2s, ConnectionOutcome::kRefused);
  BOOST_TEST(mWatch.hasEnded(mNow));
  passWhileOpen(1s, ConnectionOutcome::kAccepted, true);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against the same if the VM of the upstream answers nothing.
BOOST_AUTO_TEST_CASE(an_upstream_that_neither_sends_nor_accepts_has_ended)
{
  passWhileOpen(2s, ConnectionOutcome::kFailed);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against connections to an upstream that serves flows.
BOOST_AUTO_TEST_CASE(the_packets_of_an_upstream_show_that_it_runs)
{
  BOOST_TEST(passWhileOpen(10s, ConnectionOutcome::kRefused, true) == 0);
  BOOST_TEST(!mWatch.hasEnded(mNow));
}

// Guards against the loss of an upstream without flows, and against many connections to it.
BOOST_AUTO_TEST_CASE(an_idle_upstream_is_connected_to_at_a_bounded_rate)
{
  BOOST_TEST(passWhileOpen(10s, ConnectionOutcome::kAccepted) == 19);
  BOOST_TEST(!mWatch.hasEnded(mNow));
}

// Guards against a packet of the former upstream that this process reads after a pause.
BOOST_AUTO_TEST_CASE(a_packet_is_as_old_as_it_may_have_waited_in_the_socket)
{
  passWhileOpen(1s, ConnectionOutcome::kAccepted);
  const base::Time checkedAt = mNow - 100ms;
  mNow += 800ms;
  mWatch.onConnectionChecked(mNow, true, checkedAt);
  mWatch.onPacket();
  passWhileOpen(1s, ConnectionOutcome::kFailed);
  BOOST_TEST(!mWatch.hasEnded(checkedAt + 1999ms));
  BOOST_TEST(mWatch.hasEnded(checkedAt + 2s));
}

// Guards against the same if the packets of the former upstream take several checks to read.
BOOST_AUTO_TEST_CASE(a_packet_is_as_old_as_the_backlog_of_the_socket)
{
  passWhileOpen(1s, ConnectionOutcome::kAccepted);
  const base::Time readUntil = mNow - 100ms;
  mNow += 1s;
  for (int i = 0; i < 5; ++i, mNow += 100ms) {
    mWatch.onPacket();
    mWatch.onConnectionChecked(mNow, true, readUntil);
  }
  BOOST_TEST(mWatch.mayReceiveFlows(readUntil + 1999ms));
  BOOST_TEST(!mWatch.mayReceiveFlows(readUntil + 2s));
}

// Guards against an accepted connection that is dated after the end of the upstream.
BOOST_AUTO_TEST_CASE(a_connection_is_as_old_as_the_start_of_its_attempt)
{
  mNow += 1s;
  mWatch.onConnectionChecked(mNow, false, mNow);
  BOOST_REQUIRE(mWatch.startAttempt(mNow));
  mWatch.onAttempt(mNow + 400ms, ConnectionOutcome::kAccepted);
  BOOST_TEST(!mWatch.hasEnded(mNow + 1999ms));
  BOOST_TEST(mWatch.hasEnded(mNow + 2s));
}

// Guards against opening packets for an upstream that ended silently just before a pause of the
// agent, in which its endpoint went to another service.
BOOST_AUTO_TEST_CASE(a_connection_that_outlasts_a_pause_of_the_agent_proves_nothing)
{
  passWhileOpen(1s, ConnectionOutcome::kAccepted);
  mNow += 2s;
  mWatch.onConnectionChecked(mNow, true, mNow);
  BOOST_TEST(!mWatch.mayReceiveFlows(mNow));
  mWatch.onPacket();
  passWhileOpen(300ms, ConnectionOutcome::kFailed, true);
  BOOST_TEST(!mWatch.mayReceiveFlows(mNow));
}

// Guards against the same by a proof that is older than the pause and expires after it.
BOOST_AUTO_TEST_CASE(a_pause_of_the_agent_does_not_renew_an_earlier_proof)
{
  passWhileOpen(1s, ConnectionOutcome::kAccepted);
  const base::Time provenAt = mWatch.proof()->mAt;
  mNow = provenAt + 1700ms;
  mWatch.onConnectionChecked(mNow, true, mNow);
  BOOST_TEST(mWatch.mayReceiveFlows(provenAt + 1999ms));
  BOOST_TEST(!mWatch.mayReceiveFlows(provenAt + 2s));
}

// Guards against the loss of a living upstream by a pause of the agent: it gets flows again with
// the next connection, for which it is not waited.
BOOST_AUTO_TEST_CASE(an_upstream_whose_connection_outlasts_a_pause_of_the_agent_has_not_ended)
{
  passWhileOpen(1s, ConnectionOutcome::kAccepted);
  mNow += 4s;
  mWatch.onConnectionChecked(mNow, true, mNow);
  BOOST_TEST(!mWatch.hasEnded(mNow));
  BOOST_REQUIRE(mWatch.startAttempt(mNow));
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(mWatch.mayReceiveFlows(mNow));
}

// Guards against an upstream that counts as running for ever, because the agent pauses again and
// again.
BOOST_AUTO_TEST_CASE(an_upstream_that_accepts_nothing_after_a_pause_has_ended)
{
  passWhileOpen(1s, ConnectionOutcome::kAccepted);
  mNow += 4s;
  passWhileOpen(2s, ConnectionOutcome::kFailed);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against opening packets for the process that answers after a refusal and a pause.
BOOST_AUTO_TEST_CASE(an_upstream_that_refuses_before_or_after_a_pause_of_the_agent_has_ended)
{
  passWhileOpen(500ms, ConnectionOutcome::kAccepted);
  passWhileOpen(700ms, ConnectionOutcome::kRefused);
  mNow += 4s;
  mWatch.onConnectionChecked(mNow, true, mNow);
  BOOST_TEST(mWatch.hasEnded(mNow));
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(!mWatch.mayReceiveFlows(mNow));
}

// Guards against a flow that waits for another attempt after one that a pause of the agent
// outlasted.
BOOST_AUTO_TEST_CASE(an_attempt_from_before_a_pause_of_the_agent_is_repeated_at_once)
{
  passWhileOpen(500ms, ConnectionOutcome::kAccepted);
  BOOST_REQUIRE(mWatch.startAttempt(mNow));
  mNow += 3s;
  mWatch.onConnectionChecked(mNow, true, mNow);
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(!mWatch.mayReceiveFlows(mNow));
  BOOST_TEST(mWatch.startAttempt(mNow));
}

BOOST_AUTO_TEST_CASE(another_listed_start_is_watched_anew)
{
  pass(3s, ConnectionOutcome::kRefused);
  mWatch.list(mNow, kStart);
  BOOST_TEST(mWatch.hasEnded(mNow));
  mWatch.list(mNow, kNextStart);
  BOOST_TEST(!mWatch.hasEnded(mNow));
  BOOST_TEST(mWatch.startAttempt(mNow + 1s));
  mWatch.onAttempt(mNow + 1s, ConnectionOutcome::kAccepted);
  BOOST_TEST(!mWatch.hasEnded(mNow));
}

// Guards against a configuration that lists an ended upstream again after it had removed it.
BOOST_AUTO_TEST_CASE(an_ended_start_that_is_listed_again_has_ended)
{
  pass(3s, ConnectionOutcome::kRefused);
  mWatch.list(mNow, std::nullopt);
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  mWatch.list(mNow, kStart);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against the same if the configuration changes before the end was noticed by a check.
BOOST_AUTO_TEST_CASE(an_end_that_no_check_has_noticed_is_kept_when_the_start_is_unlisted)
{
  mWatch.onConnectionChecked(mNow, false, mNow);
  mWatch.onAttempt(mNow, ConnectionOutcome::kRefused);
  mNow += 2s;
  mWatch.list(mNow, std::nullopt);
  mWatch.list(mNow, kStart);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against the loss of an upstream that restarted, by an attempt that found the former one.
BOOST_AUTO_TEST_CASE(the_outcome_of_an_attempt_does_not_count_for_a_start_that_is_listed_later)
{
  mWatch.onConnectionChecked(mNow, false, mNow);
  BOOST_REQUIRE(mWatch.startAttempt(mNow + 1s));
  mWatch.list(mNow + 1s, kNextStart);
  mWatch.onAttempt(mNow + 1s, ConnectionOutcome::kRefused);
  BOOST_TEST(!mWatch.hasEnded(mNow + 1s));
}

// Guards against an upstream that is never used again after an interruption.
BOOST_AUTO_TEST_CASE(a_start_that_stays_listed_beyond_the_expiry_of_its_record_runs)
{
  pass(2200ms, ConnectionOutcome::kRefused);
  BOOST_REQUIRE(mWatch.hasEnded(mNow));
  const auto respondsFor = [this](base::Duration aTime) {
    for (const base::Time end = mNow + aTime; mNow < end; mNow += 1s) {
      mWatch.onServiceResponse(mNow, mNow);
    }
  };
  respondsFor(8s);
  BOOST_TEST(mWatch.hasEnded(mNow));
  respondsFor(3s);
  BOOST_TEST(!mWatch.hasEnded(mNow));
}

// Guards against a configuration that is not updated: it lists the start although its record has
// expired.
BOOST_AUTO_TEST_CASE(a_listing_proves_nothing_unless_the_service_responds_all_the_while)
{
  pass(2200ms, ConnectionOutcome::kRefused);
  const base::Time respondedAt = mNow + 2s;
  for (const base::Time end = mNow + 60s; mNow < end; mNow += 100ms) {
    mWatch.onServiceResponse(mNow, respondedAt);
  }
  mWatch.onServiceResponse(mNow, mNow);
  BOOST_TEST(mWatch.hasEnded(mNow));
}

// Guards against opening packets of an agent that started after its upstream had ended.
BOOST_AUTO_TEST_CASE(a_start_that_refuses_before_it_was_seen_running_has_ended)
{
  mWatch.list(mNow, kNextStart);
  mWatch.onConnectionChecked(mNow, false, mNow);
  mWatch.onAttempt(mNow, ConnectionOutcome::kRefused);
  mWatch.onAttempt(mNow + 100ms, ConnectionOutcome::kAccepted);
  BOOST_TEST(mWatch.hasEnded(mNow + 100ms));
}

// Guards against opening packets of an agent that was restarted after the end of its upstream: a
// configuration of a peer still lists it, and another service answers at the endpoint.
BOOST_AUTO_TEST_CASE(a_start_that_the_first_configuration_lists_after_a_refusal_has_ended)
{
  mRestarted.onRefusal();
  mRestarted.list(mNow, kStart);
  mRestarted.onConfirmed();
  BOOST_TEST(mRestarted.hasEnded(mNow));
  mRestarted.onAttempt(mNow, ConnectionOutcome::kAccepted);
  mRestarted.onPacket();
  mRestarted.onConnectionChecked(mNow + 100ms, true, mNow + 100ms);
  mRestarted.onConnectionChecked(mNow + 200ms, true, mNow + 200ms);
  BOOST_TEST(mRestarted.hasEnded(mNow + 200ms));
}

// Guards against the same if the refusal arrives after the configuration.
BOOST_AUTO_TEST_CASE(a_refusal_before_the_configuration_is_confirmed_ends_the_listed_start)
{
  mRestarted.list(mNow, kStart);
  BOOST_TEST(!mRestarted.hasEnded(mNow));
  mRestarted.onRefusal();
  BOOST_TEST(mRestarted.hasEnded(mNow));
}

// Guards against the loss of an upstream that starts after its agent.
BOOST_AUTO_TEST_CASE(a_start_that_is_listed_after_the_configuration_was_confirmed_has_not_ended)
{
  mRestarted.onRefusal();
  mRestarted.onConfirmed();
  mRestarted.list(mNow, kStart);
  mRestarted.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(mRestarted.mayReceiveFlows(mNow));
}

// Guards against a start that waits for the next attempt that is due for the former one.
BOOST_AUTO_TEST_CASE(a_start_is_connected_to_as_soon_as_it_is_listed)
{
  BOOST_REQUIRE(!mWatch.startAttempt(mNow));
  mWatch.list(mNow, kNextStart);
  BOOST_TEST(!mWatch.mayReceiveFlows(mNow));
  BOOST_TEST(mWatch.startAttempt(mNow));
  mWatch.list(mNow, kStart);
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(!mWatch.mayReceiveFlows(mNow));
  BOOST_TEST(mWatch.startAttempt(mNow));
}

// Guards against opening packets of an agent that was restarted while the VM of its upstream
// answered nothing, so that no connection was refused.
BOOST_AUTO_TEST_CASE(a_listed_start_must_accept_a_connection)
{
  mRestarted.list(mNow, kStart);
  mRestarted.onConfirmed();
  mRestarted.onPacket();
  mRestarted.onConnectionChecked(mNow, false, mNow);
  BOOST_TEST(!mRestarted.mayReceiveFlows(mNow));
  mRestarted.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(mRestarted.mayReceiveFlows(mNow));
}

// Guards against the loss of a living upstream whose endpoint refused a connection for a moment.
BOOST_AUTO_TEST_CASE(a_start_whose_record_was_written_again_runs)
{
  mRestarted.onRefusal();
  mRestarted.list(mNow, kStart);
  read(mRestarted, { { 1000, 10, 12 }, { 1000, 11, 14 }, { 1000, 14, 16 } });
  BOOST_TEST(mRestarted.hasEnded(mNow));
  read(mRestarted, { { 1000, 17, 18 } });
  BOOST_TEST(!mRestarted.hasEnded(mNow));
}

// Guards against opening packets for an upstream that has ended since the read that proves it.
BOOST_AUTO_TEST_CASE(a_record_proves_that_its_start_ran_at_the_read_before)
{
  mRestarted.onRefusal();
  mRestarted.list(mNow, kStart);
  read(mRestarted, { { 1000, 10, 12 }, { 1000, 13, 14 } });
  BOOST_TEST(!mRestarted.hasEnded(mNow + 999ms));
  BOOST_TEST(mRestarted.hasEnded(mNow + 1s));
}

// Guards against the record of another start, of a restored store, and of a read long ago.
BOOST_AUTO_TEST_CASE(a_record_that_cannot_be_compared_proves_nothing)
{
  constexpr std::uint64_t kEpoch = config::makeRevision(2, 0);
  mRestarted.onRefusal();
  mRestarted.list(mNow, kStart);
  read(mRestarted, { { 1000, 10, 12 }, { 5000, 13, 14 }, { 1000, kEpoch + 9, kEpoch + 9 } });
  BOOST_TEST(mRestarted.hasEnded(mNow));
  mNow += 1500ms;
  read(mRestarted, { { 1000, kEpoch + 10, kEpoch + 11 } });
  BOOST_TEST(mRestarted.hasEnded(mNow));
}

// Guards against many reads for an upstream that has ended, at whose endpoint nobody answers.
BOOST_AUTO_TEST_CASE(the_record_is_read_at_a_bounded_rate_while_a_process_answers)
{
  pass(3s, ConnectionOutcome::kRefused);
  BOOST_TEST(!mWatch.startRecordRead(mNow));
  mWatch.onAttempt(mNow, ConnectionOutcome::kAccepted);
  BOOST_TEST(mWatch.startRecordRead(mNow));
  BOOST_TEST(!mWatch.startRecordRead(mNow + 5s));
  mWatch.onRecord(mNow, std::nullopt);
  BOOST_TEST(!mWatch.startRecordRead(mNow + 499ms));
  BOOST_TEST(mWatch.startRecordRead(mNow + 500ms));
}

// Guards against a read for a start that is no longer listed.
BOOST_AUTO_TEST_CASE(a_record_does_not_count_for_a_start_that_is_listed_later)
{
  mRestarted.onRefusal();
  mRestarted.list(mNow, kStart);
  read(mRestarted, { { 1000, 10, 12 } });
  BOOST_REQUIRE(mRestarted.startRecordRead(mNow));
  mRestarted.list(mNow, kNextStart);
  mRestarted.onRecord(mNow, config::UpstreamRecord{ 5000, 13, 14 });
  BOOST_TEST(mRestarted.hasEnded(mNow));
}

BOOST_AUTO_TEST_CASE(nothing_is_watched_without_a_reuse_delay_or_a_listed_start)
{
  agent::UpstreamWatch disabled({});
  disabled.list(mNow, kStart);
  BOOST_TEST(!disabled.startAttempt(mNow));
  agent::UpstreamWatch unlisted({ 2s, 3600ms, 5s });
  BOOST_TEST(!unlisted.startAttempt(mNow));
  unlisted.onAttempt(mNow + 10s, ConnectionOutcome::kRefused);
  BOOST_TEST(!unlisted.hasEnded(mNow + 10s));
}

BOOST_AUTO_TEST_SUITE_END()
