#include "agent/keep_alive_prober.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

const flow::FlowKey kFlow{ *flow::Endpoint::parse("10.1.1.1:40000"), kServiceAddress };
const flow::Endpoint kUpstream = *flow::Endpoint::parse("127.0.10.1:7001");

struct Fixture
{
  Fixture()
  {
    mRecord.mState = agent::FlowState::kEstablished;
    mRecord.mIsCallerNextValid = true;
    mRecord.mCallerNextSequence = 1000;
    mRecord.mIsUpstreamNextValid = true;
    mRecord.mUpstreamNextSequence = 5000;
    mRecord.mLastCallerPacketAt = mNow;
    mRecord.mLastUpstreamPacketAt = mNow;
  }

  /// Runs one round of probes a second for aDuration. The upstream answers each probe, the caller
  /// none. @return true if the prober ended the flow
  bool runRounds(base::Duration aDuration)
  {
    for (const base::Time end = mNow + aDuration; mNow < end; mNow += 1s) {
      mKeepAliveProber.startRound();
      mActions.clear();
      if (mKeepAliveProber.probeFlow(mNow, kFlow, kUpstream, mRecord, mActions)) {
        return true;
      }
      if (findAction<agent::DeliverToUpstream>(mActions) != nullptr) {
        mRecord.mLastUpstreamPacketAt = mNow;
        mRecord.mUnansweredUpstreamProbes = 0;
      }
      mCallerProbes += findAction<agent::SendToCaller>(mActions) != nullptr ? 1 : 0;
    }
    return false;
  }

  base::Time mNow{ 1000s };
  agent::FlowRecord mRecord;
  agent::KeepAliveProber mKeepAliveProber{ {} };
  agent::Actions mActions;
  int mCallerProbes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(keep_alive_prober, Fixture)

BOOST_AUTO_TEST_CASE(probes_both_ends_of_an_idle_flow_one_byte_before_the_next_sequence_number)
{
  mNow += 120s;
  mKeepAliveProber.startRound();
  BOOST_TEST(!mKeepAliveProber.probeFlow(mNow, kFlow, kUpstream, mRecord, mActions));
  BOOST_REQUIRE(mActions.size() == 2U);
  const auto toCaller = flow::TcpPacket::parse(std::get<agent::SendToCaller>(mActions[0]).mPacket);
  BOOST_TEST(toCaller->mSequence == 4999U);
  BOOST_TEST(toCaller->mAcknowledgement == 1000U);
  const auto toUpstream =
    flow::TcpPacket::parse(std::get<agent::DeliverToUpstream>(mActions[1]).mPacket);
  BOOST_TEST(toUpstream->mSequence == 999U);
}

BOOST_AUTO_TEST_CASE(resets_both_ends_when_the_caller_answers_no_probe)
{
  BOOST_TEST(runRounds(11min));
  BOOST_TEST(mCallerProbes == 4);
  const auto* toUpstream = findAction<agent::DeliverToUpstream>(mActions);
  BOOST_REQUIRE(toUpstream != nullptr);
  BOOST_TEST(flow::TcpPacket::parse(toUpstream->mPacket)->has(flow::kRst));
  BOOST_TEST(flow::TcpPacket::parse(toUpstream->mPacket)->mSequence == 1000U);
  BOOST_TEST(findAction<agent::SendToCaller>(mActions) != nullptr);
}

BOOST_AUTO_TEST_CASE(keeps_an_idle_flow_after_a_pause_of_the_process)
{
  mNow += 1h;
  BOOST_TEST(!runRounds(2s));
}

BOOST_AUTO_TEST_CASE(limits_the_probes_of_a_round)
{
  mNow += 120s;
  mKeepAliveProber.startRound();
  for (int i = 0; i < 200; ++i) {
    agent::FlowRecord record = mRecord;
    mKeepAliveProber.probeFlow(mNow, kFlow, kUpstream, record, mActions);
  }
  BOOST_TEST(mActions.size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
