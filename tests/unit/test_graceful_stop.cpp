#include "base/graceful_stop.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(graceful_stop)

BOOST_AUTO_TEST_CASE(waits_while_work_remains_but_not_beyond_the_limit)
{
  base::GracefulStop stop(30s);
  const base::Time now{ 100s };
  BOOST_TEST(!stop.isDue(now, false));
  BOOST_TEST(!stop.request(now));
  BOOST_TEST(!stop.isDue(now + 29s, true));
  BOOST_TEST(stop.isDue(now + 1s, false));
  BOOST_TEST(stop.isDue(now + 30s, true));
}

BOOST_AUTO_TEST_CASE(distinguishes_a_repeated_request_from_the_first)
{
  base::GracefulStop stop(30s);
  stop.request(base::Time{ 100s });
  BOOST_TEST(stop.request(base::Time{ 101s }));
}

BOOST_AUTO_TEST_SUITE_END()
