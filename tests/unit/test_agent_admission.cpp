#include "agent/flow_manager.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kCallerInitialSequence = 1000;
constexpr std::uint32_t kUpstreamInitialSequence = 500000;

/// Agent of the only upstream of a service. The upstream is cold, so that its limit is one
/// concurrent request.
struct Fixture
{
  Fixture() { mAgent.apply(mNow, share(makeConfiguration(1))); }

  static flow::Endpoint caller(std::uint16_t aPort) { return { { 0x0A010101U }, aPort }; }

  agent::Actions forwardFromCaller(std::uint16_t aPort,
                                   std::uint8_t aFlags,
                                   std::uint32_t aSequence,
                                   std::uint32_t aAcknowledgement,
                                   std::size_t aPayloadBytes = 0)
  {
    wire::Forward forward;
    forward.mService = config::upstreamIdentity("logbook", "");
    forward.mIsLastPage = true;
    forward.mCandidates = { agentOf(0) };
    forward.mPacket = makePacket(
      { caller(aPort), kServiceAddress, aFlags, aSequence, aAcknowledgement, aPayloadBytes });
    return mAgent.onForward(mNow, mAgent.revision(), forward);
  }

  agent::Actions receiveFromUpstream(std::uint16_t aPort,
                                     std::uint8_t aFlags,
                                     std::uint32_t aSequence,
                                     std::size_t aPayloadBytes = 0)
  {
    return mAgent.onUpstreamPacket(mNow,
                                   makePacket({ kServiceAddress,
                                                caller(aPort),
                                                aFlags,
                                                aSequence,
                                                kCallerInitialSequence + 1,
                                                aPayloadBytes }));
  }

  agent::Actions sendSyn(std::uint16_t aPort)
  {
    return forwardFromCaller(aPort, flow::kSyn, kCallerInitialSequence, 0);
  }

  agent::Actions sendRequest(std::uint16_t aPort, std::uint32_t aOffset = 1)
  {
    return forwardFromCaller(aPort,
                             flow::kAck | flow::kPsh,
                             kCallerInitialSequence + aOffset,
                             kUpstreamInitialSequence + 1,
                             10);
  }

  agent::Actions sendResponse(std::uint16_t aPort)
  {
    return receiveFromUpstream(aPort, flow::kAck, kUpstreamInitialSequence + 1, 10);
  }

  void establish(std::uint16_t aPort)
  {
    sendSyn(aPort);
    receiveFromUpstream(aPort, flow::kSyn | flow::kAck, kUpstreamInitialSequence);
    forwardFromCaller(aPort, flow::kAck, kCallerInitialSequence + 1, kUpstreamInitialSequence + 1);
  }

  /// Establishes a flow and completes one request.
  void serveOneRequest(std::uint16_t aPort)
  {
    establish(aPort);
    sendRequest(aPort);
    sendResponse(aPort);
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
using Reply = agent::SendToCaller;

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_admission, Fixture)

BOOST_AUTO_TEST_CASE(queues_a_new_flow_at_the_limit_and_delivers_it_on_the_next_response)
{
  establish(1);
  sendRequest(1);
  BOOST_TEST(sendSyn(2).empty());
  BOOST_TEST(mAgent.admissionQueue().queuedFlows() == 1U);
  BOOST_TEST(count<Deliver>(sendResponse(1)) == 1U);
  BOOST_TEST(mAgent.admissionQueue().empty());
}

BOOST_AUTO_TEST_CASE(refuses_a_queued_flow_before_its_caller_retransmits)
{
  establish(1);
  sendRequest(1);
  sendSyn(2);
  mNow += 740ms;
  BOOST_TEST(mAgent.onQueueTimer(mNow).empty());
  mNow += 20ms;
  const auto actions = mAgent.onQueueTimer(mNow);
  BOOST_TEST(count<Reply>(actions) == 1U);
  BOOST_TEST(mAgent.flows().size() == 1U);
}

BOOST_AUTO_TEST_CASE(queues_a_request_of_an_established_flow_at_a_cold_upstream)
{
  serveOneRequest(1);
  serveOneRequest(2);
  sendRequest(1, 11);
  BOOST_TEST(count<Deliver>(sendRequest(2, 11)) == 0U);
  BOOST_TEST(count<Deliver>(sendRequest(2, 11)) == 0U); // the caller's retransmission
  BOOST_TEST(mAgent.admission().activeRequests() == 1U);
  BOOST_TEST(count<Deliver>(sendResponse(1)) == 1U);
  BOOST_TEST(mAgent.admission().activeRequests() == 1U);
}

BOOST_AUTO_TEST_CASE(counts_a_retransmitted_request_once)
{
  serveOneRequest(1);
  sendRequest(1); // a retransmission that arrives after the response
  BOOST_TEST(mAgent.admission().activeRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(stops_counting_requests_of_an_application_that_only_sends)
{
  establish(1);
  sendRequest(1);
  mNow += 11s;
  mAgent.onFlowTimer(mNow);
  sendRequest(1, 11);
  BOOST_TEST(mAgent.admission().load() == 0U);
}

BOOST_AUTO_TEST_CASE(stops_counting_the_expected_request_of_a_silent_caller)
{
  establish(1);
  BOOST_TEST(mAgent.admission().load() == 1U);
  mNow += 2s;
  mAgent.onFlowTimer(mNow);
  BOOST_TEST(mAgent.admission().load() == 0U);
}

BOOST_AUTO_TEST_CASE(refuses_queued_flows_once_its_upstream_is_leaving)
{
  establish(1);
  sendRequest(1);
  sendSyn(2);
  auto configuration = makeConfiguration(1, 2);
  configuration.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  mAgent.apply(mNow, share(configuration));
  BOOST_TEST(count<Reply>(mAgent.onQueueTimer(mNow)) == 1U);
}

BOOST_AUTO_TEST_CASE(resets_the_request_limit_when_its_zone_returns_to_service)
{
  for (int i = 0; i < 400; ++i) {
    serveOneRequest(static_cast<std::uint16_t>(i + 1));
    mNow += 100ms;
  }
  BOOST_TEST(mAgent.admission().requestLimit() > 1U);
  auto configuration = makeConfiguration(1, 2);
  configuration.mZones.emplace("a", config::AvailabilityZone{ "a", false });
  mAgent.apply(mNow, share(configuration));
  mAgent.apply(mNow, share(makeConfiguration(1, 3)));
  BOOST_TEST(mAgent.admission().requestLimit() == 1U);
}

BOOST_AUTO_TEST_CASE(counts_no_flow_that_both_ends_have_closed)
{
  serveOneRequest(1);
  receiveFromUpstream(1, flow::kAck | flow::kFin, kUpstreamInitialSequence + 11);
  forwardFromCaller(
    1, flow::kAck | flow::kFin, kCallerInitialSequence + 11, kUpstreamInitialSequence + 12);
  BOOST_TEST(mAgent.admission().openFlows() == 0U);
  BOOST_TEST(mAgent.flows().size() == 1U);
  mNow += 120s;
  mAgent.onFlowTimer(mNow);
  BOOST_TEST(mAgent.admission().openFlows() == 0U);
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(delivers_no_queued_flow_to_the_upstream_of_another_service)
{
  establish(1);
  sendRequest(1);
  sendSyn(2);
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
  BOOST_TEST(count<Reply>(actions) == 1U);
}

BOOST_AUTO_TEST_CASE(sends_its_load_report_to_the_other_agents_of_the_service)
{
  mAgent.apply(mNow, share(makeConfiguration(3, 2)));
  BOOST_TEST(count<agent::SendMessage>(mAgent.onReportTimer(mNow)) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
