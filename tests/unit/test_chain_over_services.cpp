#include "unit/support/agent_group.hpp"

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
struct Fixture : AgentGroup
{
  Fixture()
  {
    for (std::uint32_t i = 0; i < kAllUpstreams; ++i) {
      addAgent(agentOf(i));
    }
  }

  /// Sends a packet of an established flow and lets its owner be looked up until the flow is reset
  /// or the lookup ends. Records the queried agents in mVisited.
  /// @return true if an agent reset the flow
  bool searchOwner(std::uint16_t aPort)
  {
    const flow::FlowKey flow{ { { 0x64400007U }, aPort }, kSplitAddress };
    mVisited.clear();
    mForwardMessages = 0;
    sendFromCaller(flow);
    advance(4s);
    return mReset.contains(flow);
  }

  std::size_t visitedCount() const { return std::set(mVisited.begin(), mVisited.end()).size(); }
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
    BOOST_TEST(searchOwner(port));
    BOOST_TEST(visitedCount() == kAllUpstreams);
    // Each agent gets at most one packet or one lookup, but for the first page and the agent that
    // looks the owner up.
    BOOST_TEST(mVisited.size() <= kAllUpstreams + routing::kCandidatesPerPage + 1);
    BOOST_TEST(mForwardMessages <= routing::kCandidatesPerPage + 2);
  }
}

BOOST_AUTO_TEST_CASE(every_agent_is_visited_though_the_balancer_missed_a_large_share)
{
  auto balancerConfiguration = makeSplit({ { "logbook", 1000 } });
  balancerConfiguration.mIsRetainedStateComplete = false;
  mBalancer.apply(share(balancerConfiguration));
  applyToAgents(makeSplit({ { "logbook", 1000 }, { "other", 0 } }));
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(searchOwner(port));
    BOOST_TEST(visitedCount() == kAllUpstreams);
  }
}

BOOST_AUTO_TEST_CASE(an_agent_that_missed_a_large_share_resets_nothing)
{
  const auto balancerConfiguration = makeSplit({ { "logbook", 1000 }, { "other", 0 } });
  mBalancer.apply(share(balancerConfiguration));
  applyToAgents(makeSplit({ { "logbook", 1000 } }));
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    const bool isReset = searchOwner(port);
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
  addAgent(removed.mAgent);
  more.mServices.at("other").mUpstreams.push_back(removed);
  mBalancer.apply(share(fewer));
  bool hasMore = false;
  for (auto& [endpoint, agent] : mAgents) {
    hasMore = !hasMore;
    agent->apply(kAppliedAt, share(hasMore ? more : fewer));
  }
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    searchOwner(port);
    std::set<flow::Endpoint> visited(mVisited.begin(), mVisited.end());
    visited.erase(removed.mAgent);
    BOOST_TEST(visited.size() == kAllUpstreams);
  }
}

BOOST_AUTO_TEST_CASE(the_search_ends_though_no_two_agents_have_the_same_candidates)
{
  auto configuration = makeSplit({ { "logbook", 500 }, { "other", 500 } });
  mBalancer.apply(share(configuration));
  for (auto& [endpoint, agent] : mAgents) {
    auto& upstreams = configuration.mServices.at("other").mUpstreams;
    upstreams[0].mName += "x";
    upstreams[0].mIdentity = config::upstreamIdentity("other", upstreams[0].mName);
    agent->apply(kAppliedAt, share(configuration));
  }
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    BOOST_TEST(!searchOwner(port));
  }
}

BOOST_AUTO_TEST_SUITE_END()
