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

  /// The upstream answers for aLength with as many requests at once as the limit allows.
  void answerFor(base::Duration aLength, base::Duration aLatency)
  {
    for (const base::Time end = mNow + aLength; mNow < end; mNow += 10ms) {
      mLimit.onResponse(mNow, aLatency, mLimit.value());
    }
  }

  base::Time mNow{ 100s };
  admission::ConcurrencyLimit mLimit{ admission::ConcurrencyLimitSettings{} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(concurrency_limit, Fixture)

BOOST_AUTO_TEST_CASE(stays_low_for_the_whole_cold_start_however_fast_the_answers)
{
  answerFor(29s, 5ms);
  BOOST_TEST(mLimit.value() == 1U);
  BOOST_TEST(mLimit.isCold());
}

BOOST_AUTO_TEST_CASE(grows_to_the_slots_while_answers_come_as_fast_as_usual)
{
  answerFor(35s, 20ms);
  BOOST_TEST(mLimit.value() == 7U);
}

BOOST_AUTO_TEST_CASE(falls_when_answers_slow_down)
{
  answerFor(35s, 20ms);
  answerFor(1s, 100ms);
  BOOST_TEST(mLimit.value() <= 2U);
}

BOOST_AUTO_TEST_CASE(recovers_when_a_lasting_change_has_become_usual)
{
  answerFor(35s, 20ms);
  answerFor(60s, 60ms);
  BOOST_TEST(mLimit.value() == 7U);
}

BOOST_AUTO_TEST_CASE(stays_when_all_upstreams_of_the_service_slow_down)
{
  answerFor(35s, 20ms);
  mLimit.setReferenceLatency(100ms);
  answerFor(5s, 100ms);
  BOOST_TEST(mLimit.value() == 7U);
}

BOOST_AUTO_TEST_CASE(stays_low_while_it_alone_is_slow)
{
  answerFor(35s, 20ms);
  mLimit.setReferenceLatency(20ms);
  answerFor(120s, 100ms);
  BOOST_TEST(mLimit.value() == 1U);
}

BOOST_AUTO_TEST_CASE(starts_over_when_the_upstream_restarts)
{
  answerFor(35s, 20ms);
  mLimit.beginColdStart(mNow);
  BOOST_TEST(mLimit.value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
