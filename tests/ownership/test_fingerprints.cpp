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
    "119652 events, 12767 packets, 616 flows, 0 violations, e5547add698bcb0e" },
  { RunKind::kPowerLost,
    8,
    "151603 events, 16625 packets, 734 flows, 0 violations, b48a931c0dd5b373" },
  { RunKind::kAgentsWhileZoneOut,
    5,
    "107163 events, 10500 packets, 487 flows, 0 violations, 752ebcb5eca66afd" },
  { RunKind::kAgentsWhileZoneOut,
    8,
    "147450 events, 15108 packets, 596 flows, 0 violations, b3b46901dbd534c4" },
  { RunKind::kStoreAway,
    5,
    "139166 events, 14649 packets, 568 flows, 0 violations, 0341af49b09ea68a" },
  { RunKind::kStoreAway,
    8,
    "152416 events, 16577 packets, 619 flows, 0 violations, fa96671ab2cec641" },
  { RunKind::kClocksStep,
    5,
    "127758 events, 13714 packets, 545 flows, 0 violations, d189e4f3206a4e51" },
  { RunKind::kClocksStep,
    8,
    "104887 events, 11419 packets, 504 flows, 0 violations, 83702c0f17a831c0" },
  { RunKind::kZonePowerLostThenOut,
    5,
    "126561 events, 12884 packets, 564 flows, 0 violations, 7fe1d4cfd1ffc855" },
  { RunKind::kZonePowerLostThenOut,
    8,
    "126043 events, 12216 packets, 541 flows, 0 violations, 28aa3116cefa3c3c" },
  { RunKind::kMixed, 5, "106793 events, 12159 packets, 553 flows, 0 violations, be7a2b928329cedc" },
  { RunKind::kMixed, 8, "137751 events, 14164 packets, 578 flows, 0 violations, e33a9415f9efe465" },
  { RunKind::kZoneReturning,
    5,
    "124598 events, 11400 packets, 495 flows, 0 violations, 433df29309876272" },
  { RunKind::kZoneReturning,
    8,
    "159105 events, 15505 packets, 603 flows, 0 violations, ad230499cec56349" },
  { RunKind::kLateCopies,
    5,
    "123210 events, 12449 packets, 487 flows, 0 violations, fad9ab860d261ce2" },
  { RunKind::kLateCopies,
    8,
    "120548 events, 12264 packets, 487 flows, 0 violations, 5ba244bffea6c6ca" },
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
