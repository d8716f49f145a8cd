#include "admission/admission_control.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 7;
constexpr config::ColdStart kColdStart{ 2000, 3 };

/// Admission control whose limit is the number of declared slots, as in deployments whose services
/// declare their cold starts.
struct Fixture
{
  /// Counts the new flows that are admitted during aDuration, with one arrival a millisecond. Each
  /// admitted flow ends at once.
  int countAdmitted(base::Duration aDuration)
  {
    int admitted = 0;
    for (const base::Time end = mNow + aDuration; mNow < end; mNow += 1ms) {
      const auto candidate = mControl.candidateState(mNow, true);
      if (!candidate.mIsEligible || candidate.mFreeCapacity == 0) {
        continue;
      }
      ++admitted;
      mControl.onFlowOpened(mNow);
      mControl.onFirstRequestTimeout(mNow);
      mControl.onFlowClosed(mNow);
    }
    return admitted;
  }

  void configure(bool aIsEligible, bool aIsJoining, config::ColdStart aColdStart = kColdStart)
  {
    mControl.configure(mNow, kSlots, aIsEligible, aIsJoining, aColdStart);
  }

  base::Time mNow{ 100s };
  admission::AdmissionControl mControl{ { .mConcurrencyLimit = { .mColdStartLimit = UINT32_MAX,
                                                                 .mColdStartDuration = 0s,
                                                                 .mIsAdaptive = false },
                                          .mMaxQueueTime = 0ms,
                                          .mQueuesRequests = false,
                                          .mUpstreamQueuePerSlot = 2 } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cold_start, Fixture)

BOOST_AUTO_TEST_CASE(a_joining_upstream_receives_new_flows_at_the_declared_rate_at_most)
{
  configure(true, true);
  BOOST_TEST(countAdmitted(1s) == 3);
  BOOST_TEST(countAdmitted(4s) == 12);
}

BOOST_AUTO_TEST_CASE(an_agent_that_starts_beside_a_warm_upstream_uses_all_slots)
{
  configure(true, false);
  BOOST_TEST(!mControl.isCold());
  BOOST_TEST(mControl.freeFlowCapacity() == kSlots * 3);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_becomes_eligible_again_is_cold_for_the_declared_duration)
{
  configure(true, false);
  configure(false, false);
  configure(true, false);
  BOOST_TEST(countAdmitted(2s) == 6);
  mControl.makeLoadReport(mNow, 1);
  BOOST_TEST(!mControl.isCold());
}

BOOST_AUTO_TEST_CASE(without_a_declared_rate_a_cold_upstream_may_queue_as_a_warm_one)
{
  configure(true, true, { 2000, 0 });
  BOOST_TEST(mControl.isCold());
  BOOST_TEST(mControl.freeFlowCapacity() == kSlots * 3);
}

BOOST_AUTO_TEST_SUITE_END()
