#include "admission/admission_control.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 7;
constexpr config::ColdStart kStated{ 2000, 3 };

/// An agent that takes the declared slots as its limit, as where cold starts are stated.
struct Fixture
{
  /// New flows that are admitted in aSpan when one a millisecond arrives; each ends at once.
  int admittedIn(base::Duration aSpan)
  {
    int admitted = 0;
    for (const base::Time end = mNow + aSpan; mNow < end; mNow += 1ms) {
      const auto offer = mControl.candidateState(mNow, true);
      if (!offer.mIsEligible || offer.mFreeCapacity == 0) {
        continue;
      }
      ++admitted;
      mControl.onFlowOpened(mNow);
      mControl.onFirstRequestTimeout(mNow);
      mControl.onFlowClosed(mNow);
    }
    return admitted;
  }

  void configure(bool aIsEligible, bool aIsJoining, config::ColdStart aColdStart = kStated)
  {
    mControl.configure(mNow, kSlots, aIsEligible, aIsJoining, aColdStart);
  }

  base::Time mNow{ 100s };
  admission::AdmissionControl mControl{
    { .mLimit = { .mColdLimit = UINT32_MAX, .mColdStartDuration = 0s, .mIsAdaptive = false },
      .mMaxQueueTime = 0ms,
      .mQueuesRequests = false,
      .mUpstreamQueuePerSlot = 2 }
  };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cold_start, Fixture)

BOOST_AUTO_TEST_CASE(a_joining_upstream_gets_no_more_flows_a_second_than_are_stated)
{
  configure(true, true);
  BOOST_TEST(admittedIn(1s) == 3);
  BOOST_TEST(admittedIn(4s) == 12);
}

BOOST_AUTO_TEST_CASE(an_agent_that_starts_beside_a_warm_upstream_takes_all_its_slots)
{
  configure(true, false);
  BOOST_TEST(!mControl.isCold());
  BOOST_TEST(mControl.freeFlowCapacity() == kSlots * 3);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_is_taken_back_is_cold_for_the_stated_time)
{
  configure(true, false);
  configure(false, false);
  configure(true, false);
  BOOST_TEST(admittedIn(2s) == 6);
  mControl.makeLoadReport(mNow, 1);
  BOOST_TEST(!mControl.isCold());
}

BOOST_AUTO_TEST_CASE(without_a_stated_rate_a_cold_upstream_may_queue_as_a_warm_one)
{
  configure(true, true, { 2000, 0 });
  BOOST_TEST(mControl.isCold());
  BOOST_TEST(mControl.freeFlowCapacity() == kSlots * 3);
}

BOOST_AUTO_TEST_SUITE_END()
