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
std::vector<T> all(const Actions& aActions)
{
  std::vector<T> found;
  for (const auto& action : aActions) {
    if (const auto* match = std::get_if<T>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

wire::Heartbeat replyTo(const membership::SendHeartbeat& aQuestion, bool aIsConfirmed = true)
{
  wire::Heartbeat reply;
  reply.mSender = aQuestion.mTo;
  reply.mNonce = aQuestion.mHeartbeat.mNonce;
  reply.mIsReply = true;
  reply.mIsConfirmed = aIsConfirmed;
  return reply;
}

/// The questions of a process that has just applied its first configuration.
std::vector<membership::SendHeartbeat> questionsOf(const Actions& aActions)
{
  std::vector<membership::SendHeartbeat> questions;
  for (const auto& sent : all<membership::SendHeartbeat>(aActions)) {
    if (sent.mHeartbeat.mIsReplyRequested) {
      questions.push_back(sent);
    }
  }
  return questions;
}

/// A process that holds the configuration of three upstreams at aRevision and may forward.
membership::ConfigurationSync makeConfirmed(std::uint64_t aRevision,
                                            const membership::Settings& aSettings = settingsOf())
{
  membership::ConfigurationSync process(aSettings);
  process.start(kStart);
  const auto asked = questionsOf(process.apply(kStart, test::makeConfiguration(3, aRevision), {}));
  process.onHeartbeat(kStart, aRevision, replyTo(asked.at(0)));
  return process;
}

/// Ticks until a pull starts or a second is over.
std::vector<membership::StartPull> pullWithinASecond(membership::ConfigurationSync& aProcess,
                                                     base::Time aNow)
{
  for (int i = 0; i < 10; ++i) {
    auto pulls = all<membership::StartPull>(aProcess.onTick(aNow + i * 100ms));
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
  const auto asked = questionsOf(process.apply(kStart, test::makeConfiguration(3, 5), {}));
  process.onServiceReadFinished(kStart, 5);
  BOOST_TEST(asked.size() == 2U);
  BOOST_TEST(!process.mayForward());
  process.onHeartbeat(kStart, 5, replyTo(asked[0]));
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(a_starting_process_does_not_act_on_a_stale_answer_while_a_peer_is_ahead)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  const auto asked = questionsOf(process.apply(kStart, test::makeConfiguration(3, 5), {}));
  process.onServiceReadFinished(kStart, 5);
  process.onHeartbeat(kStart, 6, replyTo(asked[0]));
  BOOST_TEST(!process.mayForward());
  BOOST_TEST(pullWithinASecond(process, kStart).size() == 1U);
  process.apply(kStart + 1s, test::makeConfiguration(3, 6), {});
  process.onPullFinished(kStart + 1s, 6);
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(a_starting_process_acts_after_a_second_when_only_the_service_answers)
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

BOOST_AUTO_TEST_CASE(a_process_that_takes_long_to_catch_up_does_not_act_on_a_part)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  const auto asked = questionsOf(process.apply(kStart, test::makeConfiguration(3, 1), {}));
  process.onHeartbeat(kStart, 20, replyTo(asked.at(0)));
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

BOOST_AUTO_TEST_CASE(a_paused_process_holds_back_and_acts_after_five_seconds_when_nobody_answers)
{
  auto process = makeConfirmed(5);
  BOOST_TEST(process.mayForward());
  const base::Time woken = kStart + 1min;
  process.detectPause(woken);
  BOOST_TEST(!process.mayForward());
  for (base::Time now = woken; now < woken + 5s; now += 100ms) {
    process.onTick(now);
    BOOST_REQUIRE(!process.mayForward());
  }
  process.onTick(woken + 5s);
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(a_reply_from_before_the_pause_confirms_nothing)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  const auto old = questionsOf(process.apply(kStart, test::makeConfiguration(3, 5), {}));
  process.detectPause(kStart + 1min);
  process.onTick(kStart + 1min);
  process.onHeartbeat(kStart + 1min, 5, replyTo(old[0]));
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

BOOST_AUTO_TEST_CASE(a_peer_that_is_behind_is_told_so)
{
  auto process = makeConfirmed(5);
  wire::Heartbeat heartbeat;
  heartbeat.mSender = kPeer;
  const auto sent = all<membership::SendHeartbeat>(process.onHeartbeat(kStart, 4, heartbeat));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent[0].mTo == kPeer));
  BOOST_TEST(all<membership::SendHeartbeat>(process.onHeartbeat(kStart, 5, heartbeat)).empty());
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_asks_a_confirmed_peer_for_what_earlier_ones_left_behind)
{
  auto process = makeConfirmed(5);
  const auto pulls = pullWithinASecond(process, kStart);
  BOOST_REQUIRE(pulls.size() == 1U);
  process.onPullFinished(kStart + 1s, 5);
  process.onRetainedStateComplete();
  BOOST_TEST(pullWithinASecond(process, kStart + 4s).empty());
}

BOOST_AUTO_TEST_CASE(a_process_whose_peers_know_no_more_asks_a_few_times_only)
{
  auto process = makeConfirmed(5);
  std::size_t pulls = 0;
  for (base::Time now = kStart; now < kStart + 10min; now += 100ms) {
    const auto started = all<membership::StartPull>(process.onTick(now));
    pulls += started.size();
    if (!started.empty()) {
      process.onPullFinished(now, 5);
    }
  }
  BOOST_TEST(pulls == 6U);
}

BOOST_AUTO_TEST_CASE(a_starting_process_without_peers_asks_the_new_seeds)
{
  membership::ConfigurationSync process(settingsOf());
  process.start(kStart);
  process.setSeeds({ kOther });
  const auto asked = questionsOf(process.onTick(kStart + 1s));
  BOOST_REQUIRE(!asked.empty());
  BOOST_TEST((asked[0].mTo == kOther));
}

BOOST_AUTO_TEST_CASE(a_linearizable_service_confirms_a_start_alone)
{
  auto settings = settingsOf();
  settings.mServiceIsLinearizable = true;
  membership::ConfigurationSync process(settings);
  process.start(kStart);
  process.apply(kStart, test::makeConfiguration(3, 5), {});
  process.onServiceReadFinished(kStart, 5);
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_CASE(thousands_that_hear_one_frame_do_not_pull_at_the_same_moment)
{
  constexpr int kProcesses = 400;
  std::map<int, int> startsByTick;
  for (int i = 0; i < kProcesses; ++i) {
    auto settings = settingsOf();
    settings.mRandomSeed = static_cast<std::uint64_t>(i);
    auto process = makeConfirmed(5, settings);
    process.onFrame(kStart, kPeer, 6);
    for (int tick = 0; tick <= 10; ++tick) {
      if (!all<membership::StartPull>(process.onTick(kStart + tick * 20ms)).empty()) {
        ++startsByTick[tick];
      }
    }
  }
  int all = 0;
  for (const auto& [tick, starts] : startsByTick) {
    all += starts;
    BOOST_TEST(starts < kProcesses / 5);
  }
  BOOST_TEST(all == kProcesses);
}

BOOST_AUTO_TEST_CASE(a_key_whose_document_was_rejected_is_asked_of_peers)
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
  BOOST_TEST(readers == 3); // one in each of three zones
}

BOOST_AUTO_TEST_CASE(others_read_the_service_only_when_nobody_has_heard_of_it_for_long)
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

BOOST_AUTO_TEST_CASE(calls_to_a_service_that_is_down_are_few_and_spread_out)
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
  // In the last half of the run each process calls every half minute or so, and no second sees
  // more than a tenth of them.
  int calls = 0;
  for (std::size_t second = 150; second < 300; ++second) {
    calls += callsBySecond[second];
    BOOST_TEST(callsBySecond[second] < kProcesses / 10);
  }
  BOOST_TEST(calls < kProcesses * 150 / 20);
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_service_that_went_back_is_no_news)
{
  auto process = makeConfirmed(5);
  const auto read = all<membership::ReadService>(process.onServiceReadFinished(kStart, 3));
  BOOST_TEST(read.empty());
  BOOST_TEST(!process.serviceAge(kStart).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
