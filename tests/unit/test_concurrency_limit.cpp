#include "admission/concurrency_limit.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  Fixture()
  {
    mLimit.configure(7, false);
    mLimit.beginColdStart(mNow);
  }

  /// Records a response every 10 ms for aDuration, with as many concurrent requests as the limit
  /// allows.
  void respondFor(base::Duration aDuration, base::Duration aLatency)
  {
    for (const base::Time end = mNow + aDuration; mNow < end; mNow += 10ms) {
      mLimit.onResponse(mNow, aLatency, mLimit.value());
    }
  }

  base::Time mNow{ 100s };
  admission::ConcurrencyLimit mLimit{ admission::ConcurrencyLimitSettings{} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(concurrency_limit, Fixture)

BOOST_AUTO_TEST_CASE(stays_at_one_for_the_whole_cold_start_despite_fast_responses)
{
  respondFor(29s, 5ms);
  BOOST_TEST(mLimit.value() == 1U);
  BOOST_TEST(mLimit.isCold());
}

BOOST_AUTO_TEST_CASE(grows_to_the_slot_count_at_baseline_latency)
{
  respondFor(35s, 20ms);
  BOOST_TEST(mLimit.value() == 7U);
}

BOOST_AUTO_TEST_CASE(falls_when_latency_rises)
{
  respondFor(35s, 20ms);
  respondFor(1s, 100ms);
  BOOST_TEST(mLimit.value() <= 2U);
}

BOOST_AUTO_TEST_CASE(recovers_once_a_lasting_latency_change_becomes_the_baseline)
{
  respondFor(35s, 20ms);
  respondFor(60s, 60ms);
  BOOST_TEST(mLimit.value() == 7U);
}

BOOST_AUTO_TEST_CASE(stays_unchanged_when_all_upstreams_of_the_service_slow_down)
{
  respondFor(35s, 20ms);
  mLimit.setReferenceLatency(100ms);
  respondFor(5s, 100ms);
  BOOST_TEST(mLimit.value() == 7U);
}

BOOST_AUTO_TEST_CASE(stays_low_while_only_this_upstream_is_slow)
{
  respondFor(35s, 20ms);
  mLimit.setReferenceLatency(20ms);
  respondFor(120s, 100ms);
  BOOST_TEST(mLimit.value() == 1U);
}

BOOST_AUTO_TEST_CASE(starts_over_when_the_upstream_restarts)
{
  respondFor(35s, 20ms);
  mLimit.beginColdStart(mNow);
  BOOST_TEST(mLimit.value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
