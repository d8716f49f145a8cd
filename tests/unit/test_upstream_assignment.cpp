#include "agent/flow_manager.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;

namespace {

const flow::Endpoint kCaller = *flow::Endpoint::parse("10.1.1.1:40000");
const flow::Endpoint kCertdeskAddress = *flow::Endpoint::parse("198.51.100.11:80");

/// Agent whose VM took over the address of logbook-1 with an upstream of another service, and whose
/// configuration is older than the VM.
struct ReusedAddress
{
  ReusedAddress() { mAgent.apply(mNow, share(makeConfiguration(3))); }

  wire::Forward forward(std::uint8_t aFlags, std::uint64_t aService) const
  {
    wire::Forward forward;
    forward.mIngress = *flow::Endpoint::parse("127.0.1.1:7000");
    forward.mService = aService;
    forward.mIsLastPage = true;
    forward.mCandidates = { agentOf(0), agentOf(1), agentOf(2) };
    forward.mPacket = makePacket({ kCaller, kServiceAddress, aFlags, 1000, 0, 0 });
    return forward;
  }

  agent::Actions forwardFromCaller(std::uint8_t aFlags,
                                   std::uint64_t aService = config::upstreamIdentity("logbook", ""))
  {
    return mAgent.onForward(mNow, mAgent.revision(), forward(aFlags, aService));
  }

  /// Configuration that lists the VM's own upstream in place of logbook-1.
  static config::Configuration makeCurrentConfiguration()
  {
    config::Configuration configuration = makeConfiguration(3, 2);
    config::Service& logbook = configuration.mServices.at("logbook");
    config::Upstream upstream = logbook.mUpstreams[0];
    upstream.mName = "certdesk-1";
    upstream.mIdentity = config::upstreamIdentity("certdesk", upstream.mName);
    config::Service certdesk{ "certdesk", kCertdeskAddress, {} };
    certdesk.mUpstreams.push_back(upstream);
    config::Service others{ "logbook", kServiceAddress, {} };
    others.mUpstreams.push_back(logbook.mUpstreams[1]);
    others.mUpstreams.push_back(logbook.mUpstreams[2]);
    configuration.mServices = { { "logbook", others }, { "certdesk", certdesk } };
    return configuration;
  }

  base::Time mNow{ std::chrono::seconds(100) };
  agent::FlowManager mAgent{ { .mSelf = agentOf(0),
                               .mService = "certdesk",
                               .mUpstreamAddress = flow::Endpoint{ agentOf(0).mAddress, 7001 },
                               .mRecoveryWindow = {} } };
};

std::size_t countOf(const agent::Actions& aActions, telemetry::EventKind aKind)
{
  return static_cast<std::size_t>(
    std::count_if(aActions.begin(), aActions.end(), [&](const agent::Action& aAction) {
      const auto* event = std::get_if<telemetry::Event>(&aAction);
      return event != nullptr && event->mKind == aKind;
    }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_assignment, ReusedAddress)

// Guards against requests that another service runs: an agent at an address that is used again
// starts with a configuration that lists the former upstream of the address.
BOOST_AUTO_TEST_CASE(delivers_no_flow_of_the_former_service_of_its_address)
{
  for (const std::uint8_t flags : { flow::kSyn, flow::kAck }) {
    for (const std::uint64_t service :
         { config::upstreamIdentity("logbook", ""), std::uint64_t{ 0 } }) {
      const auto actions = forwardFromCaller(flags, service);
      BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
      const auto* forwarded = findAction<agent::SendMessage>(actions);
      BOOST_REQUIRE(forwarded != nullptr);
      BOOST_TEST(forwarded->mTo.toString() == agentOf(1).toString());
    }
  }
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(serves_its_upstream_once_the_configuration_lists_it)
{
  const auto actions = mAgent.apply(mNow, share(makeCurrentConfiguration()));
  BOOST_TEST(countOf(actions, telemetry::EventKind::kUpstreamAssigned) == 1U);
  auto opened = forward(flow::kSyn, config::upstreamIdentity("certdesk", ""));
  opened.mPacket = makePacket({ kCaller, kCertdeskAddress, flow::kSyn, 1000, 0, 0 });
  BOOST_TEST(findAction<agent::DeliverToUpstream>(
               mAgent.onForward(mNow, mAgent.revision(), opened)) != nullptr);
}

// Guards against requests that another service runs, and against an upstream without flows: the
// settings name another service while the agent runs.
BOOST_AUTO_TEST_CASE(serves_the_upstream_that_changed_settings_state)
{
  const flow::Endpoint upstream{ agentOf(0).mAddress, 7001 };
  BOOST_TEST(!mAgent.isBeside("logbook", upstream));
  mAgent.setUpstream(mNow, "logbook", upstream);
  BOOST_TEST(mAgent.isBeside("logbook", upstream));
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardFromCaller(flow::kSyn)) != nullptr);
  mAgent.setUpstream(mNow, "certdesk", upstream);
  BOOST_TEST(mAgent.flows().size() == 0U);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardFromCaller(flow::kSyn)) == nullptr);
  mAgent.apply(mNow, share(makeCurrentConfiguration()));
  BOOST_TEST(mAgent.upstream()->mName == "certdesk-1");
}

// Guards against logs that don't tell whether the configuration or the settings were wrong when
// another service served a flow.
BOOST_AUTO_TEST_CASE(states_for_which_upstream_it_took_a_flow_and_what_its_settings_state)
{
  mAgent.apply(mNow, share(makeCurrentConfiguration()));
  auto opened = forward(flow::kSyn, config::upstreamIdentity("certdesk", ""));
  opened.mPacket = makePacket({ kCaller, kCertdeskAddress, flow::kSyn, 1000, 0, 0 });
  const auto actions = mAgent.onForward(mNow, mAgent.revision(), opened);
  const auto* event = findAction<telemetry::Event>(actions);
  BOOST_REQUIRE(event != nullptr);
  const telemetry::Event expected{ telemetry::EventKind::kFlowOpened,
                                   { { "flow", kCaller.toString() + ">198.51.100.11:80" },
                                     { "service", "certdesk" },
                                     { "upstream", "certdesk-1" },
                                     { "address", mAgent.upstream()->mAddress.toString() },
                                     { "started_at_ms", "0" },
                                     { "revision", "2" },
                                     { "expected_service", "certdesk" },
                                     { "expected_address", "127.0.10.1:7001" } } };
  BOOST_TEST((*event == expected));
}

// Guards against flows of one upstream at the port of another on the same VM.
BOOST_AUTO_TEST_CASE(does_not_serve_an_upstream_at_another_port)
{
  config::Configuration configuration = makeCurrentConfiguration();
  config::Upstream upstream = configuration.mServices.at("certdesk").mUpstreams[0];
  upstream.mAddress.mPort = 7002;
  config::Service certdesk{ "certdesk", kCertdeskAddress, {} };
  certdesk.mUpstreams.push_back(upstream);
  configuration.mServices.insert_or_assign("certdesk", certdesk);
  mAgent.apply(mNow, share(configuration));
  BOOST_TEST(!mAgent.upstream().has_value());
}

// Guards against resets of open flows: an agent without an upstream knows nothing about them.
BOOST_AUTO_TEST_CASE(denies_no_flow_without_an_upstream)
{
  const flow::FlowKey key{ kCaller, kServiceAddress };
  const auto actions = mAgent.onOwnerLookup(mNow, agentOf(1), { 1, { key } });
  const auto* reply = findAction<agent::SendMessage>(actions);
  BOOST_REQUIRE(reply != nullptr);
  BOOST_TEST((std::get<wire::OwnerLookupReply>(reply->mMessage).mOwnerships ==
              std::vector{ wire::FlowOwnership::kUndeliverable }));
}

BOOST_AUTO_TEST_CASE(sends_no_load_report_in_the_name_of_the_former_upstream)
{
  BOOST_TEST(mAgent.onReportTimer(mNow).empty());
}

BOOST_AUTO_TEST_CASE(reports_an_upstream_that_is_not_its_own_once)
{
  agent::FlowManager agent({ .mSelf = agentOf(0), .mService = "certdesk" });
  const auto kind = telemetry::EventKind::kUpstreamMismatched;
  BOOST_TEST(countOf(agent.apply(mNow, share(makeConfiguration(3, 1))), kind) == 1U);
  BOOST_TEST(countOf(agent.apply(mNow, share(makeConfiguration(3, 2))), kind) == 0U);
  BOOST_TEST(countOf(agent.apply(mNow, share(makeCurrentConfiguration())), kind) == 0U);
}

BOOST_AUTO_TEST_CASE(follows_the_configuration_alone_without_settings_of_its_upstream)
{
  agent::FlowManager agent({ .mSelf = agentOf(0) });
  agent.apply(mNow, share(makeConfiguration(3)));
  BOOST_TEST(agent.upstream()->mName == "logbook-1");
}

BOOST_AUTO_TEST_SUITE_END()
