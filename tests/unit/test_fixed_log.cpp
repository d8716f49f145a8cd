#include "routing/fixed_log.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace cornelcross;

BOOST_AUTO_TEST_SUITE(fixed_log)

BOOST_AUTO_TEST_CASE(agrees_with_the_logarithm_over_the_whole_range)
{
  constexpr double kUnit = 0x1.0p-32;
  constexpr double kTolerance = 4e-6;
  std::uint64_t hash = 1;
  for (int i = 0; i < 100000; ++i) {
    const double expected = 64 - std::log2(static_cast<double>(hash));
    const double actual = static_cast<double>(routing::negativeLog2(hash)) * kUnit;
    BOOST_REQUIRE_SMALL(actual - expected, kTolerance);
    hash = hash * 0x9E3779B97F4A7C15ULL + 1;
    hash >>= static_cast<unsigned>(i) % 63U;
    hash |= 1U;
  }
}

BOOST_AUTO_TEST_CASE(never_increases_when_the_hash_increases)
{
  std::uint64_t previous = routing::negativeLog2(0);
  for (std::uint64_t hash = 1; hash < 100000; ++hash) {
    const std::uint64_t log = routing::negativeLog2(hash);
    BOOST_REQUIRE(log <= previous);
    previous = log;
  }
}

BOOST_AUTO_TEST_SUITE_END()
