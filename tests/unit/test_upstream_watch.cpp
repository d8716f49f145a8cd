#include "agent/upstream_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(upstream_watch)

BOOST_AUTO_TEST_CASE(lets_one_syn_a_second_through_to_an_upstream_that_answers_none)
{
  agent::UpstreamHealth watch;
  base::Time now{ 100s };
  for (int i = 0; i < 3; ++i, now += 200ms) {
    BOOST_TEST(watch.acceptsNewFlows(now));
    watch.recordSyn(now);
  }
  BOOST_TEST(!watch.acceptsNewFlows(now));
  BOOST_TEST(watch.acceptsNewFlows(now + 1s));
}

BOOST_AUTO_TEST_CASE(takes_an_upstream_that_accepts_again_for_whole)
{
  agent::UpstreamHealth watch;
  const base::Time now{ 100s };
  watch.recordRefusal(now);
  BOOST_TEST(watch.isDown(now));
  watch.recordSynAck();
  BOOST_TEST(watch.acceptsNewFlows(now));
}

BOOST_AUTO_TEST_SUITE_END()
