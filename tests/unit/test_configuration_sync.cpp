#include "config/revision.hpp"
#include "membership/configuration_sync.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;
using membership::Actions;

namespace {

const base::Time kStart{ 1h };
const flow::Endpoint kSelf = test::agentOf(0);
const flow::Endpoint kPeer = test::agentOf(1);
const flow::Endpoint kOther = test::agentOf(2);

membership::Settings settingsOf(flow::Endpoint aSelf = kSelf)
{
  membership::Settings settings;
  settings.mSelf = aSelf;
  settings.mReadersPerZone = 1;
  return settings;
}

template<class T>
std::vector<T> actionsOfType(const Actions& aActions)
{
  std::vector<T> found;
  for (const auto& action : aActions) {
    if (const auto* match = std::get_if<T>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

wire::Heartbeat replyTo(const membership::SendHeartbeat& aRequest, bool aIsConfirmed = true)
{
  wire::Heartbeat reply;
  reply.mSender = aRequest.mTo;
  reply.mNonce = aRequest.mHeartbeat.mNonce;
  reply.mIsReply = true;
  reply.mIsConfirmed = aIsConfirmed;
  return reply;
}

/// Returns the heartbeats among aActions that request a reply.
std::vector<membership::SendHeartbeat> replyRequestsOf(const Actions& aActions)
{
  std::vector<membership::SendHeartbeat> requests;
  for (const auto& sent : actionsOfType<membership::SendHeartbeat>(aActions)) {
    if (sent.mHeartbeat.mIsReplyRequested) {
      requests.push_back(sent);
    }
  }
  return requests;
}

/// Returns a process that may forward: it has applied a configuration of three upstreams at
/// aRevision, and a peer has confirmed the revision.
membership::ConfigurationSync makeConfirmed(std::uint64_t aRevision,
                                            const membership::Settings& aSettings = settingsOf())
{
  membership::ConfigurationSync process(aSettings);
  process.start(kStart);
  const auto requests =
    replyRequestsOf(process.apply(kStart, test::makeConfiguration(3, aRevision), {}));
  process.onHeartbeat(kStart, aRevision, replyTo(requests.at(0)));
  return process;
}

/// Advances aProcess by ticks of 100 ms, for at most 1 s, and returns the first pulls that it
/// starts.
std::vector<membership::StartPull> pullWithinASecond(membership::ConfigurationSync& aProcess,
                                                     base::Time aNow)
{
  for (int i = 0; i < 10; ++i) {
    auto pulls = actionsOfType<membership::StartPull>(aProcess.onTick(aNow + i * 100ms));
    if (!pulls.empty()) {
      return pulls;
    }
  }
  return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_decisions)

BOOST_AUTO_TEST_CASE(a_starting_process_waits_for_a_confirmed_peer_although_the_service_answered)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  const auto requests = replyRequestsOf(process.apply(kStart, test::makeConfiguration(3, 5), {}));
  process.onServiceReadFinished(kStart, 5);
  BOOST_TEST(requests.size() == 2U);
  BOOST_TEST(!process.mayForward());
  process.onHeartbeat(kStart, 5, replyTo(requests[0]));
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(
  a_starting_process_does_not_forward_on_a_stale_service_response_while_a_peer_is_ahead)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  const auto requests = replyRequestsOf(process.apply(kStart, test::makeConfiguration(3, 5), {}));
  process.onServiceReadFinished(kStart, 5);
  process.onHeartbeat(kStart, 6, replyTo(requests[0]));
  BOOST_TEST(!process.mayForward());
  BOOST_TEST(pullWithinASecond(process, kStart).size() == 1U);
  process.apply(kStart + 1s, test::makeConfiguration(3, 6), {});
  process.onPullFinished(kStart + 1s, 6);
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(a_starting_process_forwards_after_one_second_when_only_the_service_responds)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  process.apply(kStart, test::makeConfiguration(3, 5), {});
  process.onServiceReadFinished(kStart, 5);
  process.onTick(kStart + 900ms);
  BOOST_TEST(!process.mayForward());
  process.onTick(kStart + 1s);
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(a_process_does_not_forward_while_it_is_catching_up)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  const auto requests = replyRequestsOf(process.apply(kStart, test::makeConfiguration(3, 1), {}));
  process.onHeartbeat(kStart, 20, replyTo(requests.at(0)));
  for (std::uint64_t revision = 2; revision < 20; ++revision) {
    process.apply(kStart + revision * 1s, test::makeConfiguration(3, revision), {});
    process.onTick(kStart + revision * 1s);
    BOOST_TEST(!process.mayForward());
  }
  for (base::Time now = kStart + 20s; now <= kStart + 25s; now += 1s) {
    process.onTick(now);
  }
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(
  a_paused_process_stops_forwarding_and_resumes_after_five_seconds_without_replies)
{
  auto process = makeConfirmed(5);
  BOOST_TEST(process.mayForward());
  const base::Time resumedAt = kStart + 1min;
  process.detectPause(resumedAt);
  BOOST_TEST(!process.mayForward());
  for (base::Time now = resumedAt; now < resumedAt + 5s; now += 100ms) {
    process.onTick(now);
    BOOST_REQUIRE(!process.mayForward());
  }
  process.onTick(resumedAt + 5s);
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(a_reply_to_a_request_from_before_a_pause_does_not_confirm)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  const auto earlierRequests =
    replyRequestsOf(process.apply(kStart, test::makeConfiguration(3, 5), {}));
  process.detectPause(kStart + 1min);
  process.onTick(kStart + 1min);
  process.onHeartbeat(kStart + 1min, 5, replyTo(earlierRequests[0]));
  BOOST_TEST(!process.mayForward());
}

BOOST_AUTO_TEST_CASE(a_process_that_is_behind_pulls_from_the_peer_that_is_ahead)
{
  auto process = makeConfirmed(5);
  process.onFrame(kStart, kPeer, 7);
  const auto pulls = pullWithinASecond(process, kStart);
  BOOST_REQUIRE(pulls.size() == 1U);
  BOOST_TEST((pulls[0].mPeer == kPeer));
  BOOST_TEST(pulls[0].mRequest.mAfterRevision == 5U);
}

BOOST_AUTO_TEST_CASE(a_pull_that_fails_is_tried_at_another_peer)
{
  auto process = makeConfirmed(5);
  process.onFrame(kStart, kPeer, 7);
  process.onFrame(kStart, kOther, 7);
  const auto first = pullWithinASecond(process, kStart);
  process.onPullFinished(kStart + 1s, std::nullopt);
  const auto second = pullWithinASecond(process, kStart + 1s);
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST((first[0].mPeer != second[0].mPeer));
}

BOOST_AUTO_TEST_CASE(a_peer_with_an_older_revision_receives_a_heartbeat)
{
  auto process = makeConfirmed(5);
  wire::Heartbeat heartbeat;
  heartbeat.mSender = kPeer;
  const auto sent =
    actionsOfType<membership::SendHeartbeat>(process.onHeartbeat(kStart, 4, heartbeat));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].mTo == kPeer));
  BOOST_TEST(
    actionsOfType<membership::SendHeartbeat>(process.onHeartbeat(kStart, 5, heartbeat)).empty());
}

BOOST_AUTO_TEST_CASE(a_starting_process_pulls_the_retained_state_from_a_confirmed_peer)
{
  auto process = makeConfirmed(5);
  const auto pulls = pullWithinASecond(process, kStart);
  BOOST_REQUIRE(pulls.size() == 1U);
  process.onPullFinished(kStart + 1s, 5);
  process.onRetainedStateComplete();
  BOOST_TEST(pullWithinASecond(process, kStart + 4s).empty());
}

BOOST_AUTO_TEST_CASE(a_process_whose_peers_lack_complete_retained_state_stops_after_six_pulls)
{
  auto process = makeConfirmed(5);
  std::size_t pulls = 0;
  for (base::Time now = kStart; now < kStart + 10min; now += 100ms) {
    const auto started = actionsOfType<membership::StartPull>(process.onTick(now));
    pulls += started.size();
    if (!started.empty()) {
      process.onPullFinished(now, 5);
    }
  }
  BOOST_TEST(pulls == 6U);
}

/// Process that is no reader and starts beside kPeer, whose newest response of the service has the
/// age aAge.
struct StartBesidePeer
{
  explicit StartBesidePeer(base::Duration aAge,
                           bool aIsConfirmed = true,
                           const membership::Settings& aSettings = settings())
    : mProcess(aSettings)
  {
    for (const auto& request : replyRequestsOf(mProcess.start(kStart))) {
      auto reply = replyTo(request, aIsConfirmed);
      reply.mServiceAgeMs = static_cast<std::uint32_t>(aAge / 1ms);
      mProcess.onHeartbeat(kStart, 5, reply);
    }
  }

  /// Time until the process reads the service; empty if it does not within two seconds.
  std::optional<base::Duration> firstRead()
  {
    for (base::Duration elapsed = 0ms; elapsed <= 2s; elapsed += 100ms) {
      const Actions actions = mProcess.onTick(kStart + elapsed);
      if (!actionsOfType<membership::ReadService>(actions).empty()) {
        return elapsed;
      }
      if (mDeliversDocuments && !actionsOfType<membership::StartPull>(actions).empty()) {
        mProcess.apply(kStart + elapsed, test::makeConfiguration(30, 5), {});
        mProcess.onPullFinished(kStart + elapsed, 5);
      }
    }
    return std::nullopt;
  }

  static membership::Settings settings()
  {
    auto settings = settingsOf(nonReader());
    settings.mSeeds = { kPeer };
    settings.mServiceIsLinearizable = true;
    settings.mServiceMaxBackoff = 1s;
    return settings;
  }

  static flow::Endpoint nonReader()
  {
    for (std::uint32_t i = 3;; ++i) {
      auto process = membership::ConfigurationSync(settingsOf(test::agentOf(i)));
      process.apply(kStart, test::makeConfiguration(30), {});
      if (!process.isReader()) {
        return test::agentOf(i);
      }
    }
  }

  membership::ConfigurationSync mProcess;
  bool mDeliversDocuments = true;
};

// Pattern: agents and balancers are rolled. Each process that starts would read all pages of the
// service, whose calls are limited.
BOOST_AUTO_TEST_CASE(a_process_that_starts_beside_a_peer_with_recent_documents_does_not_read)
{
  BOOST_TEST(!StartBesidePeer(300ms).firstRead().has_value());
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_beside_peers_that_start_too_reads_after_the_lead_time)
{
  StartBesidePeer start(wire::kUnknownAgeMs * 1ms, false);
  BOOST_TEST((start.firstRead() == 300ms));
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_beside_a_peer_without_recent_documents_reads)
{
  StartBesidePeer start(StartBesidePeer::settings().mServiceStaleAfter + 1s);
  BOOST_TEST((start.firstRead() == 300ms));
}

// Guards against changes that stay unnoticed after an outage of the service: the readers' next
// reads may be up to a minute away, and a process that starts reads at once.
BOOST_AUTO_TEST_CASE(a_process_that_starts_reads_if_the_readers_may_back_off_for_long)
{
  auto settings = StartBesidePeer::settings();
  settings.mServiceMaxBackoff = 60s;
  BOOST_TEST((StartBesidePeer(4s, true, settings).firstRead() == 300ms));
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_while_the_readers_get_no_response_reads)
{
  BOOST_TEST((StartBesidePeer(6s).firstRead() == 300ms));
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_reads_if_the_documents_of_its_peer_do_not_arrive)
{
  StartBesidePeer start(300ms);
  start.mDeliversDocuments = false;
  BOOST_TEST((start.firstRead() == 1300ms));
}

BOOST_AUTO_TEST_CASE(a_starting_process_without_peers_sends_heartbeats_to_new_seeds)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  process.setSeeds({ kOther });
  const auto requests = replyRequestsOf(process.onTick(kStart + 1s));
  BOOST_REQUIRE(!requests.empty());
  BOOST_TEST((requests[0].mTo == kOther));
}

BOOST_AUTO_TEST_CASE(a_read_from_a_linearizable_service_suffices_to_confirm_a_starting_process)
{
  auto settings = settingsOf();
  settings.mServiceIsLinearizable = true;
  membership::ConfigurationSync process(settings);
  process.start(kStart);
  process.apply(kStart, test::makeConfiguration(3, 5), {});
  process.onServiceReadFinished(kStart, 5);
  BOOST_TEST(process.mayForward());
}

// Guards against a process that starts while the service recovers from an older copy and forwards
// by the copy although its peers have newer documents.
BOOST_AUTO_TEST_CASE(a_read_from_a_service_that_may_lack_changes_does_not_suffice_to_confirm)
{
  auto settings = settingsOf();
  settings.mServiceIsLinearizable = true;
  membership::ConfigurationSync process(settings);
  process.start(kStart);
  process.apply(kStart, test::makeConfiguration(3, 5), {});
  process.onServiceReadFinished(kStart, 5, false);
  BOOST_TEST(!process.mayForward());
  process.onTick(kStart + settings.mPeerReplyTimeout - 10ms);
  BOOST_TEST(!process.mayForward());
  process.onTick(kStart + settings.mPeerReplyTimeout);
  BOOST_TEST(process.mayForward());
}

// Guards against processes that start together during a recovery and stay at what they read first.
BOOST_AUTO_TEST_CASE(a_process_with_provisional_documents_reads_on_although_it_is_no_reader)
{
  membership::ConfigurationSync process(settingsOf(StartBesidePeer::nonReader()));
  process.start(kStart);
  process.apply(kStart, test::makeConfiguration(30), {});
  BOOST_TEST(!process.isReader());
  process.setProvisional(true);
  BOOST_TEST(
    !actionsOfType<membership::ReadService>(process.onServiceReadFinished(kStart, 1, false))
       .empty());
  process.setProvisional(false);
  BOOST_TEST(actionsOfType<membership::ReadService>(process.onServiceReadFinished(kStart, 2, false))
               .empty());
}

// Guards against a change that peers do not pull, because a restored service issued its revision
// number before.
BOOST_AUTO_TEST_CASE(a_process_pulls_from_a_peer_of_a_later_epoch_although_its_number_is_lower)
{
  auto process = makeConfirmed(900);
  process.onRetainedStateComplete();
  process.onFrame(kStart, kPeer, config::makeRevision(2, 3));
  BOOST_TEST(pullWithinASecond(process, kStart).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_process_replies_to_a_peer_of_an_earlier_epoch_and_does_not_pull)
{
  auto process = makeConfirmed(config::makeRevision(2, 3));
  process.onRetainedStateComplete();
  wire::Heartbeat heartbeat;
  heartbeat.mSender = kPeer;
  const auto replies =
    actionsOfType<membership::SendHeartbeat>(process.onHeartbeat(kStart, 900, heartbeat));
  BOOST_TEST(replies.size() == 1U);
  BOOST_TEST(pullWithinASecond(process, kStart).empty());
}

BOOST_AUTO_TEST_CASE(processes_that_receive_the_same_newer_revision_spread_their_pulls)
{
  constexpr int kProcesses = 400;
  std::map<int, int> startsByTick;
  for (int i = 0; i < kProcesses; ++i) {
    auto settings = settingsOf();
    settings.mRandomSeed = static_cast<std::uint64_t>(i);
    auto process = makeConfirmed(5, settings);
    process.onFrame(kStart, kPeer, 6);
    for (int tick = 0; tick <= 10; ++tick) {
      if (!actionsOfType<membership::StartPull>(process.onTick(kStart + tick * 20ms)).empty()) {
        ++startsByTick[tick];
      }
    }
  }
  int totalStarts = 0;
  for (const auto& [tick, starts] : startsByTick) {
    totalStarts += starts;
    BOOST_TEST(starts < kProcesses / 5);
  }
  BOOST_TEST(totalStarts == kProcesses);
}

BOOST_AUTO_TEST_CASE(the_key_of_a_rejected_document_is_pulled_from_a_peer)
{
  auto process = makeConfirmed(5);
  process.apply(kStart, test::makeConfiguration(3, 6), { "service/x" });
  const auto pulls = pullWithinASecond(process, kStart);
  BOOST_REQUIRE(pulls.size() == 1U);
  BOOST_TEST(pulls[0].mRequest.mKeys == std::vector<std::string>{ "service/x" });
}

BOOST_AUTO_TEST_CASE(exactly_the_wanted_number_of_agents_of_a_zone_reads_the_service)
{
  int readers = 0;
  for (std::uint32_t i = 0; i < 30; ++i) {
    auto process = membership::ConfigurationSync(settingsOf(test::agentOf(i)));
    process.apply(kStart, test::makeConfiguration(30), {});
    readers += process.isReader() ? 1 : 0;
  }
  BOOST_TEST(readers == 3); // one agent in each of three zones
}

BOOST_AUTO_TEST_CASE(non_readers_read_the_service_only_without_a_recent_response)
{
  membership::ServiceSchedule schedule(settingsOf());
  membership::Random random(1);
  BOOST_TEST(schedule.start(kStart, false, random).has_value());
  schedule.onReadFinished(kStart, true, random);
  BOOST_TEST(!schedule.start(kStart + 19s, false, random).has_value());
  schedule.recordResponseAge(kStart + 19s, 1s);
  BOOST_TEST(!schedule.start(kStart + 35s, false, random).has_value());
  BOOST_TEST(schedule.start(kStart + 2min, false, random).has_value());
}

BOOST_AUTO_TEST_CASE(calls_to_an_unreachable_service_are_rare_and_spread_out)
{
  constexpr int kProcesses = 200;
  std::vector<int> callsBySecond(300);
  for (int i = 0; i < kProcesses; ++i) {
    membership::ServiceSchedule schedule(settingsOf());
    membership::Random random(static_cast<std::uint64_t>(i));
    for (std::size_t tick = 0; tick < callsBySecond.size() * 10; ++tick) {
      const base::Time now = kStart + tick * 100ms;
      if (schedule.start(now, false, random)) {
        ++callsBySecond[tick / 10];
        schedule.onReadFinished(now, false, random);
      }
    }
  }
  // In the second half of the run each process calls about every 30 s, and fewer than a tenth of
  // the processes call within any one second.
  int calls = 0;
  for (std::size_t second = 150; second < 300; ++second) {
    calls += callsBySecond[second];
    BOOST_TEST(callsBySecond[second] < kProcesses / 10);
  }
  BOOST_TEST(calls < kProcesses * 150 / 20);
}

BOOST_AUTO_TEST_CASE(a_service_response_with_an_older_revision_does_not_count_as_recent)
{
  auto process = makeConfirmed(5);
  const auto read =
    actionsOfType<membership::ReadService>(process.onServiceReadFinished(kStart, 3));
  BOOST_TEST(read.empty());
  BOOST_TEST(!process.serviceAge(kStart).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
