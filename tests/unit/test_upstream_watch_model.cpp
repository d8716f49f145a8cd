#include "agent/upstream_watch.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <utility>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

using flow::ConnectionOutcome;

constexpr base::Duration kStep = 10ms;
constexpr base::Duration kCheckInterval = 100ms;
constexpr base::Duration kReuseDelay = 2s;
constexpr base::Duration kHeartbeat = 1200ms;
constexpr base::Duration kRecordLifetime = 3 * kHeartbeat;
constexpr base::Duration kSettingsInterval = 2s;
constexpr base::Duration kAttemptTimeout = 400ms;
constexpr base::Duration kSynInterval = 1s;
constexpr base::Duration kMaxListingAge = 6s;  // of the configuration of the agent
constexpr base::Duration kMaxStall = 5s;       // of the agent
constexpr base::Duration kMaxBacklog = 600ms;  // for which the agent reads what came in a stall
constexpr base::Duration kMaxTimerLag = 300ms; // of the poll of the settings, after a stall

/// One start of an upstream at the endpoint.
struct Start
{
  std::uint64_t mStartedAtMs = 0;
  bool mIsOfService = false; ///< of the service that the caller asks for
  bool mClosesConnections = false;
  bool mIsBusy = false; ///< sends packets all the time
};

/// What the configuration service lists for the endpoint from a time on.
struct Listing
{
  base::Time mSince;
  std::optional<agent::ListedStart> mStart; ///< of the service
};

/// One endpoint whose upstreams come and go, the record that the running one renews, and an agent
/// beside it that stalls for any time and is restarted. All moments are drawn at random.
class World
{
public:
  explicit World(std::uint64_t aSeed) : mRandom(aSeed) { startUpstream(true); }

  void step()
  {
    mNow += kStep;
    changeUpstream();
    renewRecord();
    repeatSyn();
    if (mNow < mAgentRunsAt) {
      mHasWaitingPacket = mHasWaitingPacket || (mRunning && mRunning->mIsBusy);
      return;
    }
    if (below(400) == 0) {
      stallAgent();
    } else if (below(600) == 0) {
      restartAgent();
    } else {
      runAgent();
    }
  }

  /// True if the agent would send an opening packet to an upstream of another service.
  bool isMisrouting() const
  {
    return mIsAgentStarted && mIsServiceSet && mListed && mWatch.mayReceiveFlows(mNow) &&
           mRunning && !mRunning->mIsOfService;
  }

  /// True if the agent runs and gives no flow to the upstream that runs, though it is listed.
  bool isWithholding() const
  {
    return mNow >= mAgentRunsAt && mIsAgentStarted && mIsServiceSet && mListed && mRunning &&
           mRunning->mIsOfService && mListed->mStartedAtMs == mRunning->mStartedAtMs &&
           !mWatch.mayReceiveFlows(mNow);
  }

private:
  std::uint64_t below(std::uint64_t aBound) { return mRandom() % aBound; }
  base::Duration upTo(base::Duration aLimit)
  {
    return kStep * static_cast<std::int64_t>(below(static_cast<std::uint64_t>(aLimit / kStep) + 1));
  }

  void startUpstream(bool aIsOfService)
  {
    Start start;
    start.mStartedAtMs = static_cast<std::uint64_t>(mNow.time_since_epoch() / 1ms);
    start.mIsOfService = aIsOfService;
    start.mClosesConnections = below(2) == 0;
    start.mIsBusy = below(2) == 0;
    mRunning = start;
    mSettingsNameService = aIsOfService;
    mChangesAt = mNow + upTo(12s);
    mNextWriteAt = mNow + upTo(500ms);
  }

  void changeUpstream()
  {
    if (mNow < mChangesAt) {
      return;
    }
    if (mRunning) {
      mIsConnectionOpen = mIsConnectionOpen && !mRunning->mClosesConnections;
      mIsVmSilent = below(3) == 0;
      mRunning.reset();
      mChangesAt = mNow + kReuseDelay + upTo(3s);
      return;
    }
    startUpstream(below(2) == 0);
  }

  void renewRecord()
  {
    if (mRunning && mNow >= mNextWriteAt) {
      ++mRevision;
      mNextWriteAt = mNow + kHeartbeat;
      mWrittenAt = mNow;
      mRecord = { mRunning->mStartedAtMs, mRevision, 0 };
      list(mRunning->mIsOfService ? std::optional(agent::ListedStart{ 1, mRunning->mStartedAtMs })
                                  : std::nullopt);
    } else if (mNow - mWrittenAt > kRecordLifetime) {
      mRecord = {};
      list(std::nullopt);
    }
  }

  void list(std::optional<agent::ListedStart> aStart)
  {
    if (mListings.empty() || mListings.back().mStart != aStart) {
      mListings.push_back({ mNow, aStart });
    }
  }

  // What is due after a stall is handled in any order.
  void stallAgent()
  {
    mAgentRunsAt = mNow + upTo(below(2) == 0 ? kMaxStall : kMaxStall / 5);
    mBacklogEndsAt = mAgentRunsAt + upTo(kMaxBacklog);
    mSettingsReadAt =
      std::max(mSettingsReadAt, mAgentRunsAt + upTo(kMaxTimerLag) - kSettingsInterval);
  }

  void restartAgent()
  {
    mWatch = agent::UpstreamWatch(kSettings);
    mAgentRunsAt = mNow + 300ms;
    mIsAgentStarted = false;
    mIsConnectionOpen = false;
    mHasWaitingPacket = false;
    mAttemptEndsAt.reset();
    mReadEndsAt.reset();
    mListed.reset();
    mConfiguredAt = mAgentRunsAt + 100ms + upTo(300ms);
    mConfirmedAt = mConfiguredAt + upTo(200ms);
    mListingAge = upTo(kMaxListingAge);
  }

  void runAgent()
  {
    if (!std::exchange(mIsAgentStarted, true)) {
      readSettings();
      if (!mRunning && !mIsVmSilent) {
        mWatch.onRefusal();
      }
    }
    if (mNow >= mCheckedAt + 2 * kCheckInterval) {
      check();
    }
    if (mNow >= mSettingsReadAt + kSettingsInterval) {
      readSettings();
    }
    follow();
    finishAttempt();
    finishRead();
    readPackets();
    if (mNow >= mCheckedAt + kCheckInterval) {
      check();
    }
  }

  void readPackets()
  {
    const bool isSent = mRunning && (mRunning->mIsBusy || below(300) == 0);
    if (isSent || std::exchange(mHasWaitingPacket, mNow < mBacklogEndsAt && mHasWaitingPacket)) {
      mWatch.onPacket();
    }
  }

  // Changed settings replace the watch, as the process at the endpoint is another one.
  void readSettings()
  {
    mSettingsReadAt = mNow;
    if (std::exchange(mIsServiceSet, mSettingsNameService) != mSettingsNameService) {
      mWatch = agent::UpstreamWatch(kSettings);
      mIsConnectionOpen = false;
      mAttemptEndsAt.reset();
      mReadEndsAt.reset();
      mListed.reset();
    }
  }

  void follow()
  {
    if (mNow < mConfiguredAt) {
      return;
    }
    while (mListings.size() > 1 && mListings[1].mSince <= mNow - mListingAge) {
      mListings.pop_front();
    }
    if (!mListings.empty() && mListings.front().mSince <= mNow - mListingAge) {
      mListed = mIsServiceSet ? mListings.front().mStart : std::nullopt;
      mWatch.list(mNow, mListed);
    }
  }

  void check()
  {
    mCheckedAt = mNow;
    mPacketsReadUntil = mHasWaitingPacket ? mPacketsReadUntil : mNow;
    mWatch.onConnectionChecked(mNow, mIsConnectionOpen, mPacketsReadUntil);
    if (mNow >= mConfirmedAt) {
      mWatch.onConfirmed();
    }
    mWatch.onServiceResponse(mNow, mNow - mListingAge);
    if (mWatch.startAttempt(mNow)) {
      const base::Duration delay = below(20) == 0 ? kAttemptTimeout : upTo(30ms);
      const auto silent = mIsVmSilent ? ConnectionOutcome::kFailed : ConnectionOutcome::kRefused;
      mAttemptOutcome = mRunning ? ConnectionOutcome::kAccepted : silent;
      mAttemptEndsAt =
        mNow + (mAttemptOutcome == ConnectionOutcome::kFailed ? kAttemptTimeout : delay);
      mAcceptedStart = mRunning;
      mAttemptStartedAt = mNow;
    }
    if (mWatch.startRecordRead(mNow)) {
      mRead = mRecord;
      mRead.mServiceRevision = mRevision;
      mReadEndsAt = mNow + upTo(300ms);
    }
  }

  // The kernel repeats a SYN that was not answered, also while the agent stalls.
  void repeatSyn()
  {
    const bool isUnanswered = mAttemptEndsAt && mAttemptOutcome == ConnectionOutcome::kFailed;
    if (isUnanswered && mRunning && mNow >= mAttemptStartedAt + kSynInterval) {
      mAttemptOutcome = ConnectionOutcome::kAccepted;
      mAcceptedStart = mRunning;
    }
  }

  void finishAttempt()
  {
    if (!mAttemptEndsAt || mNow < *mAttemptEndsAt) {
      return;
    }
    mAttemptEndsAt.reset();
    if (mAttemptOutcome == ConnectionOutcome::kAccepted) {
      const bool wasService = mIsServiceSet;
      readSettings();
      if (wasService != mIsServiceSet) {
        return;
      }
      mIsConnectionOpen = mRunning.has_value() || !mAcceptedStart->mClosesConnections;
    }
    mWatch.onAttempt(mNow, mAttemptOutcome);
  }

  void finishRead()
  {
    if (mReadEndsAt && mNow >= *mReadEndsAt) {
      mReadEndsAt.reset();
      mWatch.onRecord(mNow, below(10) == 0 ? std::nullopt : std::optional(mRead));
    }
  }

  static constexpr agent::UpstreamWatchSettings kSettings{ kReuseDelay,
                                                           kRecordLifetime,
                                                           5s,
                                                           2500ms };

  std::mt19937_64 mRandom;
  base::Time mNow{ 100s };

  std::optional<Start> mRunning;
  bool mIsVmSilent = false; ///< the VM does not refuse connections while no upstream runs
  base::Time mChangesAt;    ///< end of the running upstream, or start of the next one
  bool mSettingsNameService = true;

  std::uint64_t mRevision = 0;
  config::UpstreamRecord mRecord;
  base::Time mNextWriteAt;
  base::Time mWrittenAt;
  std::deque<Listing> mListings;

  agent::UpstreamWatch mWatch{ kSettings };
  bool mIsAgentStarted = false;
  base::Time mAgentRunsAt;
  base::Time mBacklogEndsAt;
  bool mHasWaitingPacket = false; ///< of an upstream that ran in the last stall
  bool mIsServiceSet = true;      ///< the settings that the agent has read name the service
  base::Time mSettingsReadAt;
  base::Time mConfiguredAt;
  base::Time mConfirmedAt;
  base::Duration mListingAge{ 0 };
  std::optional<agent::ListedStart> mListed;
  base::Time mCheckedAt;
  base::Time mPacketsReadUntil;
  bool mIsConnectionOpen = false;
  std::optional<base::Time> mAttemptEndsAt;
  base::Time mAttemptStartedAt;
  ConnectionOutcome mAttemptOutcome = ConnectionOutcome::kFailed;
  std::optional<Start> mAcceptedStart;
  std::optional<base::Time> mReadEndsAt;
  config::UpstreamRecord mRead;
};

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_watch_model)

// Guards against opening packets for an upstream of another service, whichever moments its start,
// the end of the former one, restarts of the agent, and listings fall on.
BOOST_AUTO_TEST_CASE(no_opening_packet_goes_to_an_upstream_of_another_service)
{
  std::uint64_t steps = 0;
  std::uint64_t withheld = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    World world(seed);
    std::uint64_t misrouted = 0;
    for (int i = 0; i < 6000; ++i) {
      world.step();
      misrouted += world.isMisrouting() ? 1U : 0U;
      withheld += world.isWithholding() ? 1U : 0U;
      ++steps;
    }
    BOOST_TEST(misrouted == 0U, "seed " << seed << ": " << misrouted << " steps");
  }
  BOOST_TEST_MESSAGE("withheld " << withheld << " of " << steps);
}

BOOST_AUTO_TEST_SUITE_END()
