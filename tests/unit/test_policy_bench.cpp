#include "bench/policy/experiment.hpp"
#include "unit/support/fingerprint.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace cornelcross;

namespace {

void add(test::Fingerprint& aFingerprint, const std::vector<double>& aMilliseconds)
{
  constexpr double kNanosecondsPerMillisecond = 1e6;
  aFingerprint.add(std::uint64_t{ aMilliseconds.size() });
  for (const double value : aMilliseconds) {
    aFingerprint.add(static_cast<std::uint64_t>(std::llround(value * kNanosecondsPerMillisecond)));
  }
}

/// Summary of one run with restarts, slow requests and a wave of the demand.
std::string summaryOfRun(const std::string& aPolicy, std::uint64_t aSeed)
{
  bench::ExperimentSettings settings;
  settings.mPolicy = aPolicy;
  settings.mLoad = 0.9;
  settings.mSeconds = 20;
  settings.mSettleSeconds = 5;
  settings.mSeed = aSeed;
  settings.mDisturbance = bench::Disturbance::kCold;
  settings.mTailShare = 0.05;
  settings.mWave = 0.3;
  settings.mReports.mLoss = 0.1;
  const auto workload = bench::findWorkload("attica");
  const bench::Measures measures = bench::Experiment(*workload, settings).run();
  test::Fingerprint fingerprint;
  add(fingerprint, measures.mLatencies);
  std::uint64_t offered = 0;
  std::uint64_t refused = 0;
  for (const bench::WorkspaceTotals& workspace : measures.mWorkspaces) {
    add(fingerprint, workspace.mDelays);
    offered += workspace.mOffered;
    refused += workspace.mRefused;
  }
  return std::to_string(offered) + " offered, " + std::to_string(refused) + " refused, " +
         std::to_string(measures.mLatencies.size()) + " answered, " + fingerprint.toString();
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_bench)

// Guards against a seed that plays different runs with different compilers, options or machines. A
// change of a policy changes its values too.
BOOST_AUTO_TEST_CASE(a_seed_plays_the_same_run_on_every_machine)
{
  BOOST_TEST(summaryOfRun("least-of-two", 1) ==
             "35901 offered, 0 refused, 42621 answered, 6202b6752a048941");
  BOOST_TEST(summaryOfRun("least-of-two", 2) ==
             "35802 offered, 0 refused, 43197 answered, d5657a8574b057ba");
  BOOST_TEST(summaryOfRun("admission", 1) ==
             "104097 offered, 100032 refused, 5451 answered, 5759e0fe093c06ed");
  BOOST_TEST(summaryOfRun("admission", 2) ==
             "104247 offered, 100171 refused, 5606 answered, d87d800f3fb4fcd9");
}

BOOST_AUTO_TEST_CASE(series_agree_with_the_functions_of_the_library)
{
  constexpr double kTolerance = 1e-13;
  for (double value = 1e-9; value < 1e9; value *= 1.37) {
    BOOST_TEST(std::abs(bench::logarithm(value) - std::log(value)) < kTolerance);
  }
  for (double value = -40; value < 40; value += 0.317) {
    BOOST_TEST(std::abs(bench::exponential(value) / std::exp(value) - 1) < kTolerance);
  }
  constexpr double kTurn = 6.283185307179586;
  for (double turns = -3; turns < 3; turns += 0.0173) {
    BOOST_TEST(std::abs(bench::sineOfTurns(turns) - std::sin(turns * kTurn)) < kTolerance);
  }
}

BOOST_AUTO_TEST_SUITE_END()
