#include "tools/check/preview.hpp"
#include "tools/check/report.hpp"
#include "unit/support/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace cornelcross::tools::check;

namespace {

constexpr std::uint32_t kSampledFlows = 4096;

} // namespace

BOOST_AUTO_TEST_SUITE(check_preview)

BOOST_AUTO_TEST_CASE(finds_no_change_between_equal_configurations)
{
  const auto configuration = test::makeConfiguration(7);
  BOOST_TEST(previewChange(configuration, configuration, kSampledFlows).isEmpty());
}

BOOST_AUTO_TEST_CASE(moves_only_the_share_of_a_leaving_upstream)
{
  const auto before = test::makeConfiguration(7);
  auto after = before;
  after.mServices.at("logbook").mUpstreams[2].mState = config::UpstreamState::kLeaving;
  const Preview preview = previewChange(before, after, kSampledFlows);
  BOOST_REQUIRE(preview.mUpstreams.size() == 1U);
  BOOST_TEST((preview.mUpstreams[0].mEffect == UpstreamEffect::kStopsNewFlows));
  BOOST_REQUIRE(preview.mServices.size() == 1U);
  const ServiceChange& change = preview.mServices[0];
  BOOST_TEST(change.mSharesAfter.count("logbook-3") == 0U);
  BOOST_TEST(std::abs(change.mMovedShare - change.mSharesBefore.at("logbook-3")) < 1e-9);
  BOOST_TEST(std::abs(change.mMovedShare - 1.0 / 7) < 0.03);
}

BOOST_AUTO_TEST_CASE(reports_that_upstreams_of_a_zone_out_of_service_lose_their_flows)
{
  const auto before = test::makeConfiguration(3);
  auto after = before;
  after.mZones.emplace("b", config::AvailabilityZone{ "b", false });
  const Preview preview = previewChange(before, after, kSampledFlows);
  BOOST_TEST((preview.mZonesOut == std::vector<std::string>{ "b" }));
  BOOST_REQUIRE(preview.mUpstreams.size() == 1U);
  BOOST_TEST(preview.mUpstreams[0].mUpstream == "logbook-2");
  BOOST_TEST((preview.mUpstreams[0].mEffect == UpstreamEffect::kLosesFlows));
}

BOOST_AUTO_TEST_CASE(
  distinguishes_the_removal_of_a_leaving_upstream_from_that_of_a_serving_upstream)
{
  auto before = test::makeConfiguration(3);
  before.mServices.at("logbook").mUpstreams[0].mState = config::UpstreamState::kLeaving;
  auto after = before;
  auto& upstreams = after.mServices.at("logbook").mUpstreams;
  const config::Upstream last = upstreams[2];
  upstreams = {};
  upstreams.push_back(last);
  const Preview preview = previewChange(before, after, kSampledFlows);
  BOOST_REQUIRE(preview.mUpstreams.size() == 2U);
  BOOST_TEST((preview.mUpstreams[0].mEffect == UpstreamEffect::kRemovedAfterDrain));
  BOOST_TEST((preview.mUpstreams[1].mEffect == UpstreamEffect::kLosesFlows));
}

BOOST_AUTO_TEST_CASE(warns_about_an_unlisted_zone_and_rejects_invalid_files)
{
  const Report report = validateText("f",
                                     R"({"service/x": {"address": "198.51.100.1:80",
    "upstreams": [{"name": "u", "zone": "nowhere", "slots": 1, "state": "serving",
    "agent": "127.0.0.1:1", "address": "127.0.0.1:2"}]}})",
                                     "");
  BOOST_TEST(report.isValid());
  BOOST_REQUIRE(report.mWarnings.size() == 1U);
  BOOST_TEST(report.mWarnings[0].mPath == "service/x.upstreams[0].zone");
  BOOST_TEST(!validateText("f", "[]", "").isValid());
  BOOST_TEST(!validateText("f", "{", "").isValid());
  BOOST_TEST(!validateText("f", R"({"zones": {}, "unknown": {}})", "").isValid());
}

BOOST_AUTO_TEST_SUITE_END()
