#include "membership/random.hpp"

#include "scenarios/random/composer.hpp"
#include "unit/support/fingerprint.hpp"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(random_draws)

// Guards against a standard library whose distributions draw other numbers from the same engine.
BOOST_AUTO_TEST_CASE(a_seed_draws_the_same_numbers_with_every_library)
{
  membership::Random random(41);
  test::Fingerprint fingerprint;
  for (std::size_t bound = 1; bound <= 1000; ++bound) {
    fingerprint.add(random.below(bound));
    fingerprint.add(static_cast<std::uint64_t>(random.between(-1ms, 3s).count()));
  }
  // Bounds for which about every second number of the engine is drawn again.
  for (unsigned i = 0; i < 1000; ++i) {
    fingerprint.add(random.below((std::size_t{ 1 } << 63U) + 1));
  }
  BOOST_TEST(fingerprint.toString() == "ac9b208a4a490a2b");
}

BOOST_AUTO_TEST_CASE(draws_stay_within_their_bounds_and_reach_them)
{
  membership::Random random(1);
  std::array<unsigned, 7> counts{};
  base::Duration lowest = 1h;
  base::Duration highest = -1h;
  for (unsigned i = 0; i < 7000; ++i) {
    ++counts.at(random.below(counts.size()));
    const base::Duration drawn = random.between(-3ns, 3ns);
    lowest = std::min(lowest, drawn);
    highest = std::max(highest, drawn);
  }
  for (const unsigned count : counts) {
    BOOST_TEST(count > 850U); // of 1,000 expected
  }
  BOOST_TEST((lowest == -3ns && highest == 3ns));
  BOOST_TEST(random.below(1) == 0U);
  BOOST_TEST((random.between(5s, 5s) == 5s));
}

// Guards against a seed that composes different scripts with different compilers or machines.
BOOST_AUTO_TEST_CASE(a_seed_composes_the_same_script_on_every_machine)
{
  test::Fingerprint fingerprint;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    fingerprint.add(scenarios::composeScript(seed));
  }
  BOOST_TEST(fingerprint.toString() == "e15d59b503673c56");
}

BOOST_AUTO_TEST_SUITE_END()
