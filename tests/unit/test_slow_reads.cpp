#include "membership/configuration_sync.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

/// A process that takes time to apply what it reads, on a slow processor. Its peers do not answer.
class SlowProcess
{
public:
  explicit SlowProcess(base::Duration aListTime) : mListTime(aListTime), mSync(settings())
  {
    perform(mSync.start(mNow));
  }

  /// Lets time pass, with a tick every 100 ms unless the process is at work.
  void pass(base::Duration aTime)
  {
    for (const base::Time end = mNow + aTime; mNow < end;) {
      mNow += 100ms;
      perform(mSync.onTick(mNow));
      finishRead();
    }
  }

  /// Suspends the process.
  void suspend(base::Duration aTime) { mNow += aTime; }

  /// The response to the read in progress arrives and is applied, if there is one.
  void finishRead()
  {
    if (!mRead) {
      return;
    }
    const membership::ReadService read = *std::exchange(mRead, std::nullopt);
    const bool isWatch = read.mIsCheck || read.mWaitSeconds > 0;
    const bool isList = !isWatch || !mHasList;
    mHasList = true;
    mLists += isList ? 1 : 0;
    ++mReads;
    mNow += isList ? mListTime : base::Duration(20ms);
    perform(mSync.apply(mNow, test::makeConfiguration(3, 5), {}));
    perform(mSync.onServiceReadFinished(mNow, 5));
  }

  bool mayForward() const { return mSync.mayForward(); }
  int lists() const { return mLists; }
  int reads() const { return mReads; }

private:
  static membership::Settings settings()
  {
    membership::Settings settings;
    settings.mSelf = test::agentOf(0);
    settings.mServiceIsLinearizable = true;
    settings.mServiceMaxBackoff = 1s;
    return settings;
  }

  void perform(const membership::Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* read = std::get_if<membership::ReadService>(&action)) {
        mRead = *read;
      }
    }
  }

  base::Duration mListTime;
  base::Time mNow{ 1h };
  membership::ConfigurationSync mSync;
  std::optional<membership::ReadService> mRead;
  bool mHasList = false;
  int mLists = 0;
  int mReads = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(slow_reads)

// Guards against a process that takes the time in which it applies a large configuration for a
// pause, reads everything again, and so never gets out of its start.
BOOST_AUTO_TEST_CASE(a_process_forwards_after_one_list_however_long_it_takes_to_apply_it)
{
  for (const base::Duration listTime : { 100ms, 1900ms, 2300ms, 5000ms, 30000ms }) {
    SlowProcess process(listTime);
    process.pass(listTime + 1s);
    BOOST_TEST(process.mayForward(), listTime / 1ms << " ms");
    process.pass(30s);
    BOOST_TEST(process.mayForward(), listTime / 1ms << " ms");
    BOOST_TEST(process.lists() == 1, listTime / 1ms << " ms");
  }
}

BOOST_AUTO_TEST_CASE(a_process_that_was_suspended_asks_for_changes_and_makes_no_list)
{
  SlowProcess process(100ms);
  process.pass(5s);
  const int reads = process.reads();
  process.suspend(60s);
  process.pass(100ms);
  BOOST_TEST(process.mayForward());
  BOOST_TEST(process.reads() > reads);
  BOOST_TEST(process.lists() == 1);
}

// Guards against packets by a stale configuration: the response was sent before the pause.
BOOST_AUTO_TEST_CASE(a_response_that_arrived_before_a_pause_does_not_confirm)
{
  SlowProcess process(100ms);
  process.pass(5s);
  process.suspend(60s);
  process.finishRead();
  BOOST_TEST(!process.mayForward());
  process.pass(200ms);
  BOOST_TEST(process.mayForward());
}

BOOST_AUTO_TEST_SUITE_END()
