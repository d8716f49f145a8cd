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

  /// One round a second for aFor, in which the upstream answers each probe.
  bool run(base::Duration aFor)
  {
    for (const base::Time end = mNow + aFor; mNow < end; mNow += 1s) {
      mKeepAliveProber.startRound();
      mActions.clear();
      if (mKeepAliveProber.probeFlow(mNow, kFlow, kUpstream, mRecord, mActions)) {
        return true;
      }
      if (findAction<agent::DeliverToUpstream>(mActions) != nullptr) {
        mRecord.mLastUpstreamPacketAt = mNow;
        mRecord.mUnansweredUpstreamProbes = 0;
      }
      mProbes += findAction<agent::SendToCaller>(mActions) != nullptr ? 1 : 0;
    }
    return false;
  }

  base::Time mNow{ 1000s };
  agent::FlowRecord mRecord;
  agent::KeepAliveProber mKeepAliveProber{ {} };
  agent::Actions mActions;
  int mProbes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(keep_alive, Fixture)

BOOST_AUTO_TEST_CASE(probes_both_ends_of_an_idle_flow_one_byte_before_what_they_expect)
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

BOOST_AUTO_TEST_CASE(resets_both_ends_when_the_caller_is_silent_for_good)
{
  BOOST_TEST(run(11min));
  BOOST_TEST(mProbes == 4);
  const auto* toUpstream = findAction<agent::DeliverToUpstream>(mActions);
  BOOST_REQUIRE(toUpstream != nullptr);
  BOOST_TEST(flow::TcpPacket::parse(toUpstream->mPacket)->has(flow::kRst));
  BOOST_TEST(flow::TcpPacket::parse(toUpstream->mPacket)->mSequence == 1000U);
  BOOST_TEST(findAction<agent::SendToCaller>(mActions) != nullptr);
}

BOOST_AUTO_TEST_CASE(gives_no_flow_up_for_a_silence_that_was_a_pause_of_this_process)
{
  mNow += 1h;
  BOOST_TEST(!run(2s));
}

BOOST_AUTO_TEST_CASE(keeps_the_bound_on_probes_in_a_round)
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
