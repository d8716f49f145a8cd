#include "ownership/run_kind.hpp"

#include <boost/test/unit_test.hpp>

namespace cornelcross::test {

namespace {

/// A run and its expected summary.
struct ExpectedRun
{
  RunKind mKind;
  std::uint64_t mSeed;
  std::string mSummary;
};

std::string summarize(const RunReport& aReport)
{
  return std::to_string(aReport.mEvents) + " events, " + std::to_string(aReport.mPackets) +
         " packets, " + std::to_string(aReport.mOpened) + " flows, " +
         std::to_string(aReport.mViolations.size()) + " violations, " +
         aReport.mFingerprint.toString();
}

const std::vector<ExpectedRun> kRuns = {
  { RunKind::kPowerLost,
    5,
    "117194 events, 12848 packets, 609 flows, 0 violations, 302d4337c150a352" },
  { RunKind::kPowerLost,
    8,
    "149421 events, 16717 packets, 725 flows, 0 violations, 8f4a0cc223017ce2" },
  { RunKind::kAgentsWhileZoneOut,
    5,
    "94300 events, 10252 packets, 497 flows, 0 violations, 419181144ffc2246" },
  { RunKind::kAgentsWhileZoneOut,
    8,
    "139132 events, 14979 packets, 601 flows, 0 violations, 654a1d5fb56d59c9" },
  { RunKind::kStoreAway,
    5,
    "128174 events, 14925 packets, 583 flows, 0 violations, e6f7f5239d72ec07" },
  { RunKind::kStoreAway,
    8,
    "138693 events, 16117 packets, 639 flows, 0 violations, 8fd9d6dcb3eb1606" },
  { RunKind::kClocksStep,
    5,
    "115174 events, 13457 packets, 546 flows, 0 violations, 276a40045b8618a4" },
  { RunKind::kClocksStep,
    8,
    "91561 events, 10597 packets, 463 flows, 0 violations, a3a41b733fe2735b" },
  { RunKind::kZonePowerLostThenOut,
    5,
    "117455 events, 12818 packets, 560 flows, 0 violations, 426f0ebb13f6842e" },
  { RunKind::kZonePowerLostThenOut,
    8,
    "119533 events, 12423 packets, 582 flows, 0 violations, 496e9c9c7d014f7e" },
  { RunKind::kMixed, 5, "111010 events, 11577 packets, 642 flows, 0 violations, 661bea6222b86e86" },
  { RunKind::kMixed, 8, "146845 events, 16622 packets, 760 flows, 0 violations, 80d5df8f1292695b" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(fingerprints)

// Guards against a seed that plays different runs with different compilers, options or machines. A
// change of what agents or balancers decide changes these values too: replace them by those of the
// new program after gcc and clang have given the same.
BOOST_AUTO_TEST_CASE(a_seed_plays_the_same_run_on_every_machine)
{
  for (const ExpectedRun& run : kRuns) {
    BOOST_TEST_CONTEXT(toString(run.mKind) << ", seed " << run.mSeed)
    {
      BOOST_TEST(summarize(playRun(run.mKind, run.mSeed)) == run.mSummary);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelcross::test
