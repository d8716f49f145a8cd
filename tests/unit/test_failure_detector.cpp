#include "membership/failure_detector.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kPeer = *flow::Endpoint::parse("127.0.10.1:7000");
const flow::Endpoint kOther = *flow::Endpoint::parse("127.0.10.2:7000");

struct Fixture
{
  /// Advances the time by aDuration in steps of 100 ms; each step records a use of aPeer and
  /// selects the peers to probe.
  void keepInUse(flow::Endpoint aPeer, base::Duration aDuration)
  {
    for (const base::Time end = mNow + aDuration; mNow < end; mNow += 100ms) {
      mDetector.recordUse(mNow, aPeer);
      mDetector.selectProbeTargets(mNow);
    }
  }

  base::Time mNow{ 100s };
  membership::FailureDetector mDetector;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(failure_detector, Fixture)

BOOST_AUTO_TEST_CASE(suspects_a_silent_peer_within_a_second_of_its_first_use)
{
  keepInUse(kPeer, 700ms);
  BOOST_TEST(!mDetector.isSuspected(kPeer));
  keepInUse(kPeer, 500ms);
  BOOST_TEST(mDetector.isSuspected(kPeer));
}

BOOST_AUTO_TEST_CASE(ends_a_suspicion_at_the_next_reply)
{
  keepInUse(kPeer, 2s);
  mDetector.recordReply(mNow, kPeer);
  BOOST_TEST(!mDetector.isSuspected(kPeer));
  BOOST_TEST(mDetector.suspectCount() == 0U);
}

BOOST_AUTO_TEST_CASE(does_not_probe_an_unused_peer_and_clears_its_suspicion)
{
  keepInUse(kPeer, 2s);
  mNow += 31s;
  BOOST_TEST(mDetector.selectProbeTargets(mNow).empty());
  BOOST_TEST(!mDetector.isSuspected(kPeer));
}

BOOST_AUTO_TEST_CASE(does_not_suspect_a_peer_after_a_pause_of_its_own_process)
{
  keepInUse(kPeer, 600ms);
  mNow += 10s;
  keepInUse(kPeer, 500ms);
  BOOST_TEST(!mDetector.isSuspected(kPeer));
}

BOOST_AUTO_TEST_CASE(keeps_probing_a_suspect_that_stays_in_use)
{
  keepInUse(kPeer, 2s);
  const auto before = mDetector.probesSent();
  keepInUse(kPeer, 10s);
  BOOST_TEST(mDetector.isSuspected(kPeer));
  BOOST_TEST(mDetector.probesSent() - before == 10U);
}

BOOST_AUTO_TEST_CASE(tries_every_pair_of_ports_with_a_suspect_and_stays_with_the_one_that_answers)
{
  membership::FailureDetector responder;
  std::set<std::pair<bool, bool>> portPairs;
  for (int i = 0; i < 40; ++i) {
    mDetector.recordUse(mNow, kPeer);
    if (!mDetector.selectProbeTargets(mNow).empty()) {
      responder.recordProbe(mNow, kPeer, mDetector.unansweredProbes(kPeer));
      portPairs.emplace(mDetector.usesAlternatePort(kPeer), responder.usesAlternatePort(kPeer));
    }
    mNow += 100ms;
  }
  BOOST_TEST(portPairs.size() == 4U);
  const bool usesAlternate = mDetector.usesAlternatePort(kPeer);
  mDetector.recordReply(mNow, kPeer);
  BOOST_TEST(mDetector.usesAlternatePort(kPeer) == usesAlternate);
}

BOOST_AUTO_TEST_CASE(moves_suspects_behind_the_others_and_keeps_their_order)
{
  keepInUse(kPeer, 2s);
  std::vector<flow::Endpoint> peers = { kPeer, kOther };
  BOOST_TEST(mDetector.moveSuspectsLast(peers, 0) == 1U);
  BOOST_TEST(peers[1].toString() == kPeer.toString());
}

BOOST_AUTO_TEST_CASE(keeps_the_bound_on_probes_a_second)
{
  for (std::uint32_t i = 0; i < 1000; ++i) {
    mDetector.recordUse(mNow, { { 0x7F000000U + i }, 7000 });
  }
  std::size_t probes = 0;
  for (int tick = 0; tick < 10; ++tick) {
    probes += mDetector.selectProbeTargets(mNow + tick * 100ms).size();
  }
  BOOST_TEST(probes == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
