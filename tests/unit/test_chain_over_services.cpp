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

const flow::Endpoint kSplitAddress = *flow::Endpoint::parse("198.51.100.20:80");
constexpr std::uint32_t kLogbookUpstreams = 10;
constexpr std::uint32_t kOtherUpstreams = 52; ///< several pages of candidates
constexpr std::uint32_t kAllUpstreams = kLogbookUpstreams + kOtherUpstreams;

config::Configuration makeServices()
{
  auto configuration = makeConfiguration(kLogbookUpstreams);
  auto other = makeConfiguration(kAllUpstreams).mServices.at("logbook");
  other.mName = "other";
  other.mAddress = {};
  other.mUpstreams.erase(other.mUpstreams.begin(), other.mUpstreams.begin() + kLogbookUpstreams);
  configuration.mServices.emplace("other", other);
  configuration.mIsRetainedStateComplete = true;
  return configuration;
}

config::Configuration makeSplit(std::vector<config::ServiceShare> aShares)
{
  auto configuration = makeServices();
  configuration.mAddresses[kSplitAddress] = { kSplitAddress, std::move(aShares) };
  return configuration;
}

/// One balancer and all agents of two services behind one address. No agent has a flow record.
struct Fixture
{
  Fixture()
  {
    for (std::uint32_t i = 0; i < kAllUpstreams; ++i) {
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

  /// Forwards a packet of an established flow from agent to agent until no agent forwards the
  /// packet any further. Records the visited agents in mVisited.
  /// @return true if an agent reset the flow
  bool forwardAlongCandidates(std::uint16_t aPort)
  {
    mVisited.clear();
    const auto packet =
      makeSealed({ { { 0x64400007U }, aPort }, kSplitAddress, kSealedAck, 1000, 2000, 10 });
    auto action = mBalancer.route(mNow, packet);
    auto* sent = std::get_if<balancer::SendForward>(&action);
    BOOST_REQUIRE(sent != nullptr);
    std::optional<wire::Forward> forward = std::move(sent->mForward);
    forward->mPacket = packet;
    bool isReset = false;
    while (forward) {
      BOOST_REQUIRE(mVisited.size() < std::size_t{ 4 } * kAllUpstreams);
      const flow::Endpoint current = forward->mCandidates.at(forward->mCandidateIndex);
      mVisited.push_back(current);
      agent::FlowManager& agent = *mAgents.at(current);
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

  std::size_t visitedCount() const { return std::set(mVisited.begin(), mVisited.end()).size(); }

  base::Time mNow{ 100s };
  balancer::PacketRouter mBalancer{ *flow::Endpoint::parse("127.0.1.1:7000"),
                                    100,
                                    platform::packetFormat(),
                                    true };
  std::map<flow::Endpoint, std::unique_ptr<agent::FlowManager>> mAgents;
  std::vector<flow::Endpoint> mVisited;
};

constexpr std::uint16_t kFlows = 50;

} // namespace

// Guards against resets of flows that have an owner: behind an address with several services, any
// agent of these services may own an established flow. Processes whose configurations differ list
// different candidates, so that an agent may be left out.
BOOST_FIXTURE_TEST_SUITE(chain_over_services, Fixture)

BOOST_AUTO_TEST_CASE(a_flow_is_reset_only_after_every_agent_of_every_service_denied_it)
{
  const auto configuration = makeSplit({ { "logbook", 500 }, { "other", 500 } });
  mBalancer.apply(share(configuration));
  applyToAgents(configuration);
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(forwardAlongCandidates(port));
    BOOST_TEST(visitedCount() == kAllUpstreams);
    BOOST_TEST(mVisited.size() == kAllUpstreams);
  }
}

BOOST_AUTO_TEST_CASE(every_agent_is_visited_though_the_balancer_missed_a_large_share)
{
  auto balancerConfiguration = makeSplit({ { "logbook", 1000 } });
  balancerConfiguration.mIsRetainedStateComplete = false;
  mBalancer.apply(share(balancerConfiguration));
  applyToAgents(makeSplit({ { "logbook", 1000 }, { "other", 0 } }));
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(forwardAlongCandidates(port));
    BOOST_TEST(visitedCount() == kAllUpstreams);
  }
}

BOOST_AUTO_TEST_CASE(an_agent_that_missed_a_large_share_resets_nothing)
{
  const auto balancerConfiguration = makeSplit({ { "logbook", 1000 }, { "other", 0 } });
  mBalancer.apply(share(balancerConfiguration));
  applyToAgents(makeSplit({ { "logbook", 1000 } }));
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const bool isReset = forwardAlongCandidates(port);
    BOOST_TEST((!isReset || visitedCount() == kAllUpstreams));
  }
}

// Processes that restart one after the other retain different sets of removed upstreams.
BOOST_AUTO_TEST_CASE(every_agent_is_visited_though_every_other_agent_lists_a_removed_upstream)
{
  const auto fewer = makeSplit({ { "logbook", 500 }, { "other", 500 } });
  auto more = fewer;
  config::Upstream removed = more.mServices.at("other").mUpstreams[7];
  removed.mName += "x";
  removed.mIdentity = config::upstreamIdentity("other", removed.mName);
  removed.mState = config::UpstreamState::kRemoved;
  removed.mAgent = agentOf(kAllUpstreams);
  removed.mAddress = { removed.mAgent.mAddress, 7001 };
  mAgents[removed.mAgent] = std::make_unique<agent::FlowManager>(
    agent::AgentSettings{ .mSelf = removed.mAgent, .mRecoveryWindow = 60s },
    platform::packetFormat());
  more.mServices.at("other").mUpstreams.push_back(removed);
  mBalancer.apply(share(fewer));
  bool hasMore = false;
  for (auto& [endpoint, agent] : mAgents) {
    hasMore = !hasMore;
    agent->apply(base::Time{ 0s }, share(hasMore ? more : fewer));
  }
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    forwardAlongCandidates(port);
    std::set<flow::Endpoint> visited(mVisited.begin(), mVisited.end());
    visited.erase(removed.mAgent);
    BOOST_TEST(visited.size() == kAllUpstreams);
  }
}

BOOST_AUTO_TEST_CASE(forwarding_ends_though_no_two_agents_have_the_same_candidates)
{
  auto configuration = makeSplit({ { "logbook", 500 }, { "other", 500 } });
  mBalancer.apply(share(configuration));
  for (auto& [endpoint, agent] : mAgents) {
    auto& upstreams = configuration.mServices.at("other").mUpstreams;
    upstreams[0].mName += "x";
    upstreams[0].mIdentity = config::upstreamIdentity("other", upstreams[0].mName);
    agent->apply(base::Time{ 0s }, share(configuration));
  }
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(!forwardAlongCandidates(port));
  }
}

BOOST_AUTO_TEST_SUITE_END()
