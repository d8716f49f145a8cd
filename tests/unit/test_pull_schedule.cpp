#include "membership/pull_schedule.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kRevision = 5;
constexpr std::uint64_t kNewerRevision = 6;
constexpr base::Duration kPullDeadline = 400ms;
constexpr base::Duration kHeartbeat = 100ms; // of each peer
constexpr base::Duration kTargetTime = 3s;   // in which a removed upstream gets no more flows

flow::Endpoint peerOf(unsigned aNumber)
{
  return { { 0x0A000000 + aNumber }, 7000 };
}

/// Process with an older revision than its peers, of which the first ones are heard but do not
/// answer.
struct BehindProcess
{
  explicit BehindProcess(std::uint64_t aSeed = 1, unsigned aSilent = 0, unsigned aPeers = 0)
    : mRandom(aSeed), mSilent(aSilent), mPeers(aPeers)
  {
  }

  void hear()
  {
    for (unsigned peer = 0; peer < mPeers; ++peer) {
      mSchedule.recordNewerPeer(mNow, peerOf(peer), kNewerRevision, mRandom);
    }
  }

  /// Time until a pull succeeds.
  base::Duration catchUp()
  {
    const base::Time startedAt = mNow;
    std::optional<base::Time> deadline;
    for (;; mNow += 10ms) {
      if ((mNow - startedAt) % kHeartbeat == base::Duration::zero()) {
        hear();
      }
      if (deadline && mNow >= *deadline) {
        deadline.reset();
        mSchedule.onPullFinished(mNow, false, kRevision, mRandom);
      }
      const auto peer = mSchedule.start(mNow, kRevision, mRandom);
      if (peer && *peer >= peerOf(mSilent)) {
        return mNow - startedAt;
      }
      deadline = peer ? std::optional(mNow + kPullDeadline) : deadline;
    }
  }

  base::Time mNow{ 100s };
  membership::Random mRandom;
  unsigned mSilent;
  unsigned mPeers;
  membership::PullSchedule mSchedule{ [] {
    membership::Settings settings;
    settings.mPullMaxBackoff = 1s;
    return settings;
  }() };
};

} // namespace

BOOST_AUTO_TEST_SUITE(pull_schedule)

// Guards against requests to an upstream that was removed long before: packets pass one way only,
// and the process tries to pull from peers that cannot answer, again and again.
BOOST_AUTO_TEST_CASE(a_process_catches_up_although_a_third_of_its_peers_is_only_heard)
{
  base::Duration longest{ 0 };
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    longest = std::max(longest, BehindProcess(seed, 5, 15).catchUp());
  }
  BOOST_TEST_MESSAGE("longest " << longest / 1ms << " ms");
  BOOST_TEST((longest <= kTargetTime), "longest " << longest / 1ms << " ms");
}

// Guards against the same if there are more peers than the schedule remembers.
BOOST_AUTO_TEST_CASE(peers_that_did_not_answer_give_way_to_others)
{
  BehindProcess process(1, 16, 16);
  process.hear();
  BOOST_REQUIRE(process.mSchedule.start(process.mNow += 1s, kRevision, process.mRandom));
  process.mSchedule.onPullFinished(process.mNow, false, kRevision, process.mRandom);
  process.hear();
  process.mSchedule.recordNewerPeer(process.mNow, peerOf(20), kNewerRevision, process.mRandom);
  bool isTried = false;
  for (int i = 0; i < 16; ++i) {
    const auto peer = process.mSchedule.start(process.mNow += 2s, kRevision, process.mRandom);
    BOOST_REQUIRE(peer.has_value());
    isTried = isTried || *peer == peerOf(20);
    process.mSchedule.onPullFinished(process.mNow, false, kRevision, process.mRandom);
  }
  BOOST_TEST(isTried);
}

// Guards against a process that was cut off from all peers and stays behind when the cut heals.
BOOST_AUTO_TEST_CASE(a_peer_that_did_not_answer_is_tried_again_if_there_is_no_other)
{
  BehindProcess process(1, 0, 1);
  process.hear();
  BOOST_REQUIRE(process.mSchedule.start(process.mNow += 1s, kRevision, process.mRandom));
  process.mSchedule.onPullFinished(process.mNow, false, kRevision, process.mRandom);
  process.hear();
  BOOST_TEST(process.mSchedule.start(process.mNow += 1s, kRevision, process.mRandom).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
