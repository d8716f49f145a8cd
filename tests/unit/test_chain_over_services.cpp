#include "agent/flow_manager.hpp"
#include "balancer/packet_router.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/sealed_packets.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kSplit = *flow::Endpoint::parse("198.51.100.20:80");
constexpr std::uint32_t kSmall = 10; ///< upstreams of "logbook"
constexpr std::uint32_t kLarge = 52; ///< upstreams of "other": several chunks of candidates
constexpr std::uint32_t kAll = kSmall + kLarge;

config::Configuration makeServices()
{
  auto configuration = makeConfiguration(kSmall);
  auto other = makeConfiguration(kAll).mServices.at("logbook");
  other.mName = "other";
  other.mAddress = {};
  other.mUpstreams.erase(other.mUpstreams.begin(), other.mUpstreams.begin() + kSmall);
  configuration.mServices.emplace("other", other);
  configuration.mIsRetainedStateComplete = true;
  return configuration;
}

config::Configuration withShares(std::vector<config::ServiceShare> aShares)
{
  auto configuration = makeServices();
  configuration.mAddresses[kSplit] = { kSplit, std::move(aShares) };
  return configuration;
}

/// One balancer and all agents of two services behind one address; no agent has a flow on record.
struct Fixture
{
  Fixture()
  {
    for (std::uint32_t i = 0; i < kAll; ++i) {
      mAgents[agentOf(i)] = std::make_unique<agent::FlowManager>(
        agent::AgentSettings{ .mSelf = agentOf(i), .mRecoveryWindow = 60s },
        platform::packetFormat());
    }
  }

  void applyToAgents(const config::Configuration& aConfiguration)
  {
    const auto shared = share(aConfiguration);
    for (auto& [endpoint, agent] : mAgents) {
      agent->apply(base::Time{ 0s }, shared);
    }
  }

  /// Hands a packet of an established flow from agent to agent until it goes no further.
  /// @return true if the flow was reset
  bool walk(std::uint16_t aPort)
  {
    mAsked.clear();
    const auto packet =
      makeSealed({ { { 0x64400007U }, aPort }, kSplit, kSealedAck, 1000, 2000, 10 });
    auto action = mBalancer.route(mNow, packet);
    auto* sent = std::get_if<balancer::SendForward>(&action);
    BOOST_REQUIRE(sent != nullptr);
    std::optional<wire::Forward> forward = std::move(sent->mForward);
    forward->mPacket = packet;
    bool isReset = false;
    while (forward) {
      BOOST_REQUIRE(mAsked.size() < std::size_t{ 4 } * kAll);
      const flow::Endpoint at = forward->mCandidates.at(forward->mCandidateIndex);
      mAsked.push_back(at);
      agent::FlowManager& agent = *mAgents.at(at);
      const auto actions = agent.onForward(mNow, agent.revision(), std::move(*forward));
      const auto* message = findAction<agent::SendMessage>(actions);
      isReset = isReset || findAction<agent::SendToCaller>(actions) != nullptr;
      forward.reset();
      if (message != nullptr) {
        forward = std::get<wire::Forward>(message->mMessage);
      }
    }
    return isReset;
  }

  std::size_t asked() const { return std::set(mAsked.begin(), mAsked.end()).size(); }

  base::Time mNow{ 100s };
  balancer::PacketRouter mBalancer{ *flow::Endpoint::parse("127.0.1.1:7000"),
                                    100,
                                    platform::packetFormat(),
                                    true };
  std::map<flow::Endpoint, std::unique_ptr<agent::FlowManager>> mAgents;
  std::vector<flow::Endpoint> mAsked;
};

constexpr std::uint16_t kFlows = 50;

} // namespace

BOOST_FIXTURE_TEST_SUITE(chain_over_services, Fixture)

BOOST_AUTO_TEST_CASE(a_flow_is_reset_only_after_every_upstream_of_every_service_was_asked)
{
  const auto configuration = withShares({ { "logbook", 500 }, { "other", 500 } });
  mBalancer.apply(share(configuration));
  applyToAgents(configuration);
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(walk(port));
    BOOST_TEST(asked() == kAll);
    BOOST_TEST(mAsked.size() == kAll);
  }
}

BOOST_AUTO_TEST_CASE(a_balancer_that_missed_a_large_share_does_not_hide_it)
{
  auto known = withShares({ { "logbook", 1000 } });
  known.mIsRetainedStateComplete = false;
  mBalancer.apply(share(known));
  applyToAgents(withShares({ { "logbook", 1000 }, { "other", 0 } }));
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(walk(port));
    BOOST_TEST(asked() == kAll);
  }
}

BOOST_AUTO_TEST_CASE(an_agent_that_missed_a_large_share_resets_nothing)
{
  const auto known = withShares({ { "logbook", 1000 }, { "other", 0 } });
  mBalancer.apply(share(known));
  applyToAgents(withShares({ { "logbook", 1000 } }));
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const bool isReset = walk(port);
    BOOST_TEST((!isReset || asked() == kAll));
  }
}

// Processes that start again one after the other remember different upstreams that are gone.
BOOST_AUTO_TEST_CASE(a_walk_reaches_everybody_though_every_other_agent_lists_one_more)
{
  const auto fewer = withShares({ { "logbook", 500 }, { "other", 500 } });
  auto more = fewer;
  config::Upstream gone = more.mServices.at("other").mUpstreams[7];
  gone.mName += "x";
  gone.mIdentity = config::upstreamIdentity("other", gone.mName);
  gone.mState = config::UpstreamState::kRemoved;
  gone.mAgent = agentOf(kAll);
  gone.mAddress = { gone.mAgent.mAddress, 7001 };
  mAgents[gone.mAgent] = std::make_unique<agent::FlowManager>(
    agent::AgentSettings{ .mSelf = gone.mAgent, .mRecoveryWindow = 60s }, platform::packetFormat());
  more.mServices.at("other").mUpstreams.push_back(gone);
  mBalancer.apply(share(fewer));
  bool hasMore = false;
  for (auto& [endpoint, agent] : mAgents) {
    hasMore = !hasMore;
    agent->apply(base::Time{ 0s }, share(hasMore ? more : fewer));
  }
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    walk(port);
    std::set<flow::Endpoint> asked(mAsked.begin(), mAsked.end());
    asked.erase(gone.mAgent);
    BOOST_TEST(asked.size() == kAll);
  }
}

BOOST_AUTO_TEST_CASE(a_walk_ends_though_no_two_agents_list_the_same)
{
  auto configuration = withShares({ { "logbook", 500 }, { "other", 500 } });
  mBalancer.apply(share(configuration));
  for (auto& [endpoint, agent] : mAgents) {
    auto& upstreams = configuration.mServices.at("other").mUpstreams;
    upstreams[0].mName += "x";
    upstreams[0].mIdentity = config::upstreamIdentity("other", upstreams[0].mName);
    agent->apply(base::Time{ 0s }, share(configuration));
  }
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(!walk(port));
  }
}

BOOST_AUTO_TEST_SUITE_END()
