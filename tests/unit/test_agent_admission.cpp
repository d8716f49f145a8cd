#include "agent/flow_manager.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kCallerInitial = 1000;
constexpr std::uint32_t kUpstreamInitial = 500000;

/// The agent of a service's only upstream, which is cold and takes one request at once.
struct Fixture
{
  Fixture() { mAgent.apply(mNow, share(makeConfiguration(1))); }

  static flow::Endpoint caller(std::uint16_t aPort) { return { { 0x0A010101U }, aPort }; }

  agent::Actions fromCaller(std::uint16_t aPort,
                            std::uint8_t aFlags,
                            std::uint32_t aSequence,
                            std::uint32_t aAcknowledgement,
                            std::size_t aPayload = 0)
  {
    wire::Forward forward;
    forward.mService = config::upstreamIdentity("logbook", "");
    forward.mIsLastPage = true;
    forward.mCandidates = { agentOf(0) };
    forward.mPacket =
      makePacket({ caller(aPort), kServiceAddress, aFlags, aSequence, aAcknowledgement, aPayload });
    return mAgent.onForward(mNow, mAgent.revision(), forward);
  }

  agent::Actions fromUpstream(std::uint16_t aPort,
                              std::uint8_t aFlags,
                              std::uint32_t aSequence,
                              std::size_t aPayload = 0)
  {
    return mAgent.onUpstreamPacket(
      mNow,
      makePacket(
        { kServiceAddress, caller(aPort), aFlags, aSequence, kCallerInitial + 1, aPayload }));
  }

  agent::Actions open(std::uint16_t aPort)
  {
    return fromCaller(aPort, flow::kSyn, kCallerInitial, 0);
  }

  agent::Actions request(std::uint16_t aPort, std::uint32_t aOffset = 1)
  {
    return fromCaller(
      aPort, flow::kAck | flow::kPsh, kCallerInitial + aOffset, kUpstreamInitial + 1, 10);
  }

  agent::Actions answer(std::uint16_t aPort)
  {
    return fromUpstream(aPort, flow::kAck, kUpstreamInitial + 1, 10);
  }

  void establish(std::uint16_t aPort)
  {
    open(aPort);
    fromUpstream(aPort, flow::kSyn | flow::kAck, kUpstreamInitial);
    fromCaller(aPort, flow::kAck, kCallerInitial + 1, kUpstreamInitial + 1);
  }

  /// An established flow with one request answered.
  void serveOne(std::uint16_t aPort)
  {
    establish(aPort);
    request(aPort);
    answer(aPort);
  }

  template<class T>
  static std::size_t count(const agent::Actions& aActions)
  {
    return static_cast<std::size_t>(
      std::count_if(aActions.begin(), aActions.end(), [](const agent::Action& aAction) {
        return std::holds_alternative<T>(aAction);
      }));
  }

  base::Time mNow{ 100s };
  agent::FlowManager mAgent{ { .mSelf = agentOf(0) } };
};

using Deliver = agent::DeliverToUpstream;
using Answer = agent::SendToCaller;

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_admission, Fixture)

BOOST_AUTO_TEST_CASE(holds_a_new_flow_while_there_is_no_room_and_delivers_it_on_the_next_answer)
{
  establish(1);
  request(1);
  BOOST_TEST(open(2).empty());
  BOOST_TEST(mAgent.admissionQueue().flows() == 1U);
  BOOST_TEST(count<Deliver>(answer(1)) == 1U);
  BOOST_TEST(mAgent.admissionQueue().empty());
}

BOOST_AUTO_TEST_CASE(refuses_a_held_flow_before_its_caller_retransmits)
{
  establish(1);
  request(1);
  open(2);
  mNow += 740ms;
  BOOST_TEST(mAgent.onQueueTimer(mNow).empty());
  mNow += 20ms;
  const auto actions = mAgent.onQueueTimer(mNow);
  BOOST_TEST(count<Answer>(actions) == 1U);
  BOOST_TEST(mAgent.flows().size() == 1U);
}

BOOST_AUTO_TEST_CASE(holds_a_request_of_an_established_flow_at_a_cold_upstream)
{
  serveOne(1);
  serveOne(2);
  request(1, 11);
  BOOST_TEST(count<Deliver>(request(2, 11)) == 0U);
  BOOST_TEST(count<Deliver>(request(2, 11)) == 0U); // the caller's retransmission
  BOOST_TEST(mAgent.admission().activeRequests() == 1U);
  BOOST_TEST(count<Deliver>(answer(1)) == 1U);
  BOOST_TEST(mAgent.admission().activeRequests() == 1U);
}

BOOST_AUTO_TEST_CASE(counts_a_retransmitted_request_once)
{
  serveOne(1);
  request(1); // arrives after its answer
  BOOST_TEST(mAgent.admission().activeRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(stops_counting_requests_of_an_application_that_only_sends)
{
  establish(1);
  request(1);
  mNow += 11s;
  mAgent.onFlowTimer(mNow);
  request(1, 11);
  BOOST_TEST(mAgent.admission().load() == 0U);
}

BOOST_AUTO_TEST_CASE(stops_expecting_the_request_of_a_silent_caller)
{
  establish(1);
  BOOST_TEST(mAgent.admission().load() == 1U);
  mNow += 2s;
  mAgent.onFlowTimer(mNow);
  BOOST_TEST(mAgent.admission().load() == 0U);
}

BOOST_AUTO_TEST_CASE(refuses_held_flows_once_its_upstream_is_leaving)
{
  establish(1);
  request(1);
  open(2);
  auto configuration = makeConfiguration(1, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  mAgent.apply(mNow, share(configuration));
  BOOST_TEST(count<Answer>(mAgent.onQueueTimer(mNow)) == 1U);
}

BOOST_AUTO_TEST_CASE(starts_low_again_when_its_upstream_or_zone_returns)
{
  for (int i = 0; i < 400; ++i) {
    serveOne(static_cast<std::uint16_t>(i + 1));
    mNow += 100ms;
  }
  BOOST_TEST(mAgent.admission().requestLimit() > 1U);
  auto configuration = makeConfiguration(1, 2);
  configuration.mZones.emplace("a", config::AvailabilityZone{ "a", false });
  mAgent.apply(mNow, share(configuration));
  mAgent.apply(mNow, share(makeConfiguration(1, 3)));
  BOOST_TEST(mAgent.admission().requestLimit() == 1U);
}

BOOST_AUTO_TEST_CASE(counts_no_connection_that_both_sides_have_closed)
{
  serveOne(1);
  fromUpstream(1, flow::kAck | flow::kFin, kUpstreamInitial + 11);
  fromCaller(1, flow::kAck | flow::kFin, kCallerInitial + 11, kUpstreamInitial + 12);
  BOOST_TEST(mAgent.admission().openFlows() == 0U);
  BOOST_TEST(mAgent.flows().size() == 1U);
  mNow += 120s;
  mAgent.onFlowTimer(mNow);
  BOOST_TEST(mAgent.admission().openFlows() == 0U);
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(gives_no_held_flow_to_the_upstream_of_another_service)
{
  establish(1);
  request(1);
  open(2);
  auto configuration = makeConfiguration(1, 2);
  auto node = configuration.mServices.extract("logbook");
  node.key() = "certificates";
  node.mapped().mName = "certificates";
  node.mapped().mAddress.mPort = 81;
  node.mapped().mUpstreams[0].mIdentity = config::upstreamIdentity("certificates", "logbook-1");
  configuration.mServices.insert(std::move(node));
  auto actions = mAgent.apply(mNow, share(configuration));
  const auto later = mAgent.onQueueTimer(mNow);
  actions.insert(actions.end(), later.begin(), later.end());
  BOOST_TEST(count<Deliver>(actions) == 0U);
  BOOST_TEST(count<Answer>(actions) == 1U);
}

BOOST_AUTO_TEST_CASE(tells_the_other_agents_of_the_service_its_load)
{
  mAgent.apply(mNow, share(makeConfiguration(3, 2)));
  BOOST_TEST(count<agent::SendMessage>(mAgent.onReportTimer(mNow)) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
