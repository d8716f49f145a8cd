#include "config/retained_routes.hpp"
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
  std::size_t gone() const
  {
    const auto& upstreams = mInForce->mServices.at("logbook").mUpstreams;
    return static_cast<std::size_t>(
      std::count_if(upstreams.begin(), upstreams.end(), [](const auto& aUpstream) {
        return aUpstream.mState == config::UpstreamState::kRemoved;
      }));
  }

  void apply(config::Configuration aConfiguration)
  {
    mInForce = mRoutes.apply(mNow, share(std::move(aConfiguration)));
  }

  base::Time mNow{ 100s };
  config::RetainedRoutes mRoutes{ 60s, 2s, kStartMs };
  config::ConfigurationPtr mInForce;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(retained_routes, Fixture)

BOOST_AUTO_TEST_CASE(an_upstream_that_vanishes_receives_but_takes_no_new_flow)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  BOOST_REQUIRE(gone() == 1U);
  const auto& upstream = mInForce->mServices.at("logbook").mUpstreams.back();
  BOOST_TEST(mInForce->acceptsPackets(upstream));
  BOOST_TEST(!mInForce->acceptsNewFlows(upstream));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_was_leaving_is_empty_when_operators_remove_it)
{
  auto configuration = makeConfiguration(3, 1);
  configuration.mServices.at("logbook").mUpstreams[2].mState = config::UpstreamState::kLeaving;
  apply(configuration);
  config::RetainedRoutes keeping(60s, 2s, kStartMs, true);
  keeping.apply(mNow, share(configuration));
  apply(makeConfiguration(2, 2));
  BOOST_TEST(gone() == 0U);
  mInForce = keeping.apply(mNow, share(makeConfiguration(2, 2)));
  BOOST_TEST(gone() == 1U);
}

BOOST_AUTO_TEST_CASE(it_is_forgotten_after_the_lifetime_of_a_flow)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  BOOST_TEST(mRoutes.expire(mNow + 59s) == nullptr);
  mInForce = mRoutes.expire(mNow + 60s);
  BOOST_REQUIRE(mInForce != nullptr);
  BOOST_TEST(gone() == 0U);
}

BOOST_AUTO_TEST_CASE(it_is_forgotten_once_it_is_listed_again)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  apply(makeConfiguration(3, 3));
  BOOST_TEST(gone() == 0U);
}

BOOST_AUTO_TEST_CASE(it_is_forgotten_once_another_one_has_its_address)
{
  apply(makeConfiguration(3, 1));
  apply(makeConfiguration(2, 2));
  auto configuration = makeConfiguration(3, 3);
  configuration.mServices.at("logbook").mUpstreams[2].mName = "successor";
  configuration.mServices.at("logbook").mUpstreams[2].mIdentity =
    config::upstreamIdentity("logbook", "successor");
  apply(configuration);
  BOOST_TEST(gone() == 0U);
}

BOOST_AUTO_TEST_CASE(a_service_that_an_address_no_longer_leads_to_keeps_its_flows)
{
  apply(withShares({ { "logbook", 90 }, { "other", 10 } }, 1));
  apply(withShares({ { "logbook", 100 } }, 2));
  BOOST_TEST(mInForce->serves("other", kAddress));
  BOOST_TEST(!mInForce->servesNewFlows("other", kAddress));
  apply(withShares({ { "other", 100 } }, 3));
  BOOST_TEST(mInForce->servesNewFlows("other", kAddress));
  BOOST_TEST(mInForce->serves("logbook", kAddress));
}

BOOST_AUTO_TEST_CASE(an_address_that_is_deleted_takes_its_flows_with_it)
{
  apply(withShares({ { "logbook", 90 }, { "other", 10 } }, 1));
  apply(withShares({ { "logbook", 100 } }, 2));
  apply(makeConfiguration(3, 3));
  BOOST_TEST(!mInForce->serves("other", kAddress));
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_taken_out_closes_before_it_is_out)
{
  apply(makeConfiguration(3, 1));
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["a"] = { "a", false };
  apply(configuration);
  const auto& upstream = configuration.mServices.at("logbook").mUpstreams[0];
  BOOST_TEST(mInForce->acceptsPackets(upstream));
  BOOST_TEST(!mInForce->acceptsNewFlows(upstream));
  mInForce = mRoutes.expire(mNow + 2s);
  BOOST_REQUIRE(mInForce != nullptr);
  BOOST_TEST(!mInForce->acceptsPackets(upstream));
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_while_a_zone_is_out_sends_nothing_there)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["a"] = { "a", false };
  apply(configuration);
  BOOST_TEST(!mInForce->acceptsPackets(configuration.mServices.at("logbook").mUpstreams[0]));
}

BOOST_AUTO_TEST_CASE(a_process_that_is_older_than_every_upstream_misses_nothing)
{
  auto configuration = makeConfiguration(2, 1);
  configuration.mServices.at("logbook").mUpstreams[0].mStartedAtMs = kStartMs + 5000;
  configuration.mServices.at("logbook").mUpstreams[1].mStartedAtMs = kStartMs - 5000;
  apply(configuration);
  BOOST_TEST(!mRoutes.isComplete());
  configuration.mServices.at("logbook").mUpstreams[1].mStartedAtMs = kStartMs + 9000;
  apply(configuration);
  BOOST_TEST(mInForce->mIsRetainedStateComplete);
}

BOOST_AUTO_TEST_CASE(a_process_that_has_run_for_the_lifetime_of_a_flow_misses_nothing)
{
  apply(makeConfiguration(2, 1));
  BOOST_TEST(!mInForce->mIsRetainedStateComplete);
  BOOST_REQUIRE(mRoutes.expire(mNow + 60s) != nullptr);
  BOOST_TEST(mRoutes.isComplete());
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_learns_from_one_that_was_there)
{
  apply(withShares({ { "logbook", 90 }, { "other", 10 } }, 1));
  auto fewer = withShares({ { "logbook", 100 } }, 2);
  fewer.mServices.at("logbook").mUpstreams.pop_back();
  apply(fewer);
  config::RetainedState retainedState = mRoutes.retainedState(mNow + 20s);
  retainedState.mIsComplete = true;
  config::RetainedRoutes fresh(60s, 2s, kStartMs);
  fresh.apply(mNow, share(fewer));
  mInForce = fresh.merge(mNow, retainedState);
  BOOST_TEST(gone() == 1U);
  BOOST_TEST(mInForce->serves("other", kAddress));
  BOOST_TEST(mInForce->mIsRetainedStateComplete);
  BOOST_REQUIRE(fresh.expire(mNow + 40s) != nullptr); // what was 20 s old is 60 s old then
  BOOST_TEST(fresh.retainedState(mNow + 40s).mUpstreams.empty());
}

BOOST_AUTO_TEST_SUITE_END()
