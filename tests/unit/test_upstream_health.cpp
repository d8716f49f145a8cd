#include "agent/upstream_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(upstream_health)

BOOST_AUTO_TEST_CASE(accepts_one_new_flow_a_second_for_an_upstream_that_answers_no_syn)
{
  agent::UpstreamHealth health;
  base::Time now{ 100s };
  for (int i = 0; i < 3; ++i, now += 200ms) {
    BOOST_TEST(health.acceptsNewFlows(now));
    health.recordSyn(now);
  }
  BOOST_TEST(!health.acceptsNewFlows(now));
  BOOST_TEST(health.acceptsNewFlows(now + 1s));
}

BOOST_AUTO_TEST_CASE(accepts_new_flows_once_the_upstream_answers_a_syn_again)
{
  agent::UpstreamHealth health;
  const base::Time now{ 100s };
  health.recordRefusal(now);
  BOOST_TEST(health.isDown(now));
  health.recordSynAck();
  BOOST_TEST(health.acceptsNewFlows(now));
}

BOOST_AUTO_TEST_SUITE_END()
