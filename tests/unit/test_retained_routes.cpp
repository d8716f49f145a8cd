#include "config/retained_routes.hpp"

#include "config/revision.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kStartMs = 1000000;

const flow::Endpoint kAddress = *flow::Endpoint::parse("198.51.100.20:80");

config::Configuration withShares(std::vector<config::ServiceShare> aShares, std::uint64_t aRevision)
{
  auto configuration = makeConfiguration(3, aRevision);
  configuration.mAddresses[kAddress] = { kAddress, std::move(aShares) };
  return configuration;
}

struct Fixture
{
  std::size_t removedCount() const
  {
    const auto& upstreams = mActiveConfiguration->mServices.at("logbook").mUpstreams;
    return static_cast<std::size_t>(
      std::count_if(upstreams.begin(), upstreams.end(), [](const auto& aUpstream) {
        return aUpstream.mState == config::UpstreamState::kRemoved;
      }));
  }

  void apply(config::Configuration aConfiguration)
  {
    mActiveConfiguration = mRoutes.apply(mNow, share(std::move(aConfiguration)));
  }

  base::Time mNow{ 100s };
  config::RetainedRoutes mRoutes{ 60s, 2s, kStartMs };
  config::ConfigurationPtr mActiveConfiguration;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(retained_routes, Fixture)

BOOST_AUTO_TEST_CASE(an_upstream_that_disappears_receives_packets_but_no_new_flows)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  BOOST_REQUIRE(removedCount() == 1U);
  const auto& upstream = mActiveConfiguration->mServices.at("logbook").mUpstreams.back();
  BOOST_TEST(mActiveConfiguration->acceptsPackets(upstream));
  BOOST_TEST(!mActiveConfiguration->acceptsNewFlows(upstream));
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_is_retained_after_its_removal_only_if_so_configured)
{
  auto configuration = makeConfiguration(3, 1);
  configuration.mServices.at("logbook").mUpstreams[2].mState = config::UpstreamState::kLeaving;
  apply(configuration);
  config::RetainedRoutes retainingLeaving(60s, 2s, kStartMs, true);
  retainingLeaving.apply(mNow, share(configuration));
  apply(makeConfiguration(2, 2));
  BOOST_TEST(removedCount() == 0U);
  mActiveConfiguration = retainingLeaving.apply(mNow, share(makeConfiguration(2, 2)));
  BOOST_TEST(removedCount() == 1U);
}

// Guards against flows of a removed upstream that end with a restore of the configuration service.
BOOST_AUTO_TEST_CASE(a_removed_upstream_is_retained_over_a_new_epoch)
{
  apply(makeConfiguration(3, 9));
  apply(makeConfiguration(2, 10));
  apply(makeConfiguration(2, config::makeRevision(1, 4)));
  BOOST_TEST(removedCount() == 1U);
  config::RetainedRoutes other{ 60s, 2s, kStartMs };
  other.apply(mNow, share(makeConfiguration(2, config::makeRevision(1, 4))));
  mActiveConfiguration = other.merge(mNow, mRoutes.retainedState(mNow));
  BOOST_TEST(removedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_upstream_expires_after_the_flow_lifetime)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  BOOST_TEST(mRoutes.expire(mNow + 59s) == nullptr);
  mActiveConfiguration = mRoutes.expire(mNow + 60s);
  BOOST_REQUIRE(mActiveConfiguration != nullptr);
  BOOST_TEST(removedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(a_removed_upstream_is_dropped_once_it_is_listed_again)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  apply(makeConfiguration(3, 3));
  BOOST_TEST(removedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(a_removed_upstream_is_dropped_once_another_upstream_has_its_address)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  auto configuration = makeConfiguration(3, 3);
  configuration.mServices.at("logbook").mUpstreams[2].mName = "successor";
  configuration.mServices.at("logbook").mUpstreams[2].mIdentity =
    config::upstreamIdentity("logbook", "successor");
  apply(configuration);
  BOOST_TEST(removedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(a_service_that_loses_its_share_of_an_address_keeps_its_flows)
{
  apply(withShares({ { "logbook", 90 }, { "other", 10 } }, 1));
  apply(withShares({ { "logbook", 100 } }, 2));
  BOOST_TEST(mActiveConfiguration->serves("other", kAddress));
  BOOST_TEST(!mActiveConfiguration->servesNewFlows("other", kAddress));
  apply(withShares({ { "other", 100 } }, 3));
  BOOST_TEST(mActiveConfiguration->servesNewFlows("other", kAddress));
  BOOST_TEST(mActiveConfiguration->serves("logbook", kAddress));
}

BOOST_AUTO_TEST_CASE(deleting_an_address_drops_its_retained_services)
{
  apply(withShares({ { "logbook", 90 }, { "other", 10 } }, 1));
  apply(withShares({ { "logbook", 100 } }, 2));
  apply(makeConfiguration(3, 3));
  BOOST_TEST(!mActiveConfiguration->serves("other", kAddress));
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_taken_out_drains_before_it_is_out)
{
  apply(makeConfiguration(3, 1));
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["a"] = { "a", false };
  apply(configuration);
  const auto& upstream = configuration.mServices.at("logbook").mUpstreams[0];
  BOOST_TEST(mActiveConfiguration->acceptsPackets(upstream));
  BOOST_TEST(!mActiveConfiguration->acceptsNewFlows(upstream));
  mActiveConfiguration = mRoutes.expire(mNow + 2s);
  BOOST_REQUIRE(mActiveConfiguration != nullptr);
  BOOST_TEST(!mActiveConfiguration->acceptsPackets(upstream));
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_while_a_zone_is_out_sends_no_packets_to_the_zone)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["a"] = { "a", false };
  apply(configuration);
  BOOST_TEST(
    !mActiveConfiguration->acceptsPackets(configuration.mServices.at("logbook").mUpstreams[0]));
}

BOOST_AUTO_TEST_CASE(a_process_older_than_every_upstream_has_complete_retained_state)
{
  auto configuration = makeConfiguration(2, 1);
  configuration.mServices.at("logbook").mUpstreams[0].mStartedAtMs = kStartMs + 5000;
  configuration.mServices.at("logbook").mUpstreams[1].mStartedAtMs = kStartMs - 5000;
  apply(configuration);
  BOOST_TEST(!mRoutes.isComplete());
  configuration.mServices.at("logbook").mUpstreams[1].mStartedAtMs = kStartMs + 9000;
  apply(configuration);
  BOOST_TEST(mActiveConfiguration->mIsRetainedStateComplete);
}

BOOST_AUTO_TEST_CASE(a_process_older_than_the_flow_lifetime_has_complete_retained_state)
{
  apply(makeConfiguration(2, 1));
  BOOST_TEST(!mActiveConfiguration->mIsRetainedStateComplete);
  BOOST_REQUIRE(mRoutes.expire(mNow + 60s) != nullptr);
  BOOST_TEST(mRoutes.isComplete());
}

BOOST_AUTO_TEST_CASE(a_starting_process_merges_the_retained_state_of_a_peer)
{
  apply(withShares({ { "logbook", 90 }, { "other", 10 } }, 1));
  auto reduced = withShares({ { "logbook", 100 } }, 2);
  reduced.mServices.at("logbook").mUpstreams.pop_back();
  apply(reduced);
  config::RetainedState retainedState = mRoutes.retainedState(mNow + 20s);
  retainedState.mIsComplete = true;
  config::RetainedRoutes starting(60s, 2s, kStartMs);
  starting.apply(mNow, share(reduced));
  mActiveConfiguration = starting.merge(mNow, retainedState);
  BOOST_TEST(removedCount() == 1U);
  BOOST_TEST(mActiveConfiguration->serves("other", kAddress));
  BOOST_TEST(mActiveConfiguration->mIsRetainedStateComplete);
  // The merged entries were 20 s old, so they reach the flow lifetime of 60 s after another 40 s.
  BOOST_REQUIRE(starting.expire(mNow + 40s) != nullptr);
  BOOST_TEST(starting.retainedState(mNow + 40s).mUpstreams.empty());
}

BOOST_AUTO_TEST_SUITE_END()
