#include "config/document_store.hpp"

#include "config/revision.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

const std::string kZonesIn = R"({"zones": [{"name": "a", "state": "in"}]})";
const std::string kZonesOut = R"({"zones": [{"name": "a", "state": "out"}]})";
const std::string kService = R"({"address": "198.51.100.1:80", "upstreams": [{"name": "u",
  "agent": "127.0.0.1:1", "address": "127.0.0.1:2", "zone": "a", "slots": 1, "state": "serving"}]})";
const std::string kOtherService = R"({"address": "198.51.100.2:80", "upstreams": [{"name": "u",
  "agent": "127.0.0.2:1", "address": "127.0.0.2:2", "zone": "a", "slots": 1, "state": "serving"}]})";

const std::string kOtherLeaving = R"({"address": "198.51.100.2:80", "upstreams": [{"name": "u",
  "agent": "127.0.0.2:1", "address": "127.0.0.2:2", "zone": "a", "slots": 1, "state": "leaving"}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(document_store)

BOOST_AUTO_TEST_CASE(keeps_the_accepted_document_when_a_newer_one_is_faulty)
{
  config::DocumentStore store;
  store.merge(1, { { "zones", 1, kZonesOut } });
  const auto errors =
    store.merge(2, { { "zones", 2, R"({"zones": [{"name": "a", "state": "?"}]})" } });
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].toString() == "zones.zones[0].state: expected \"in\" or \"out\"");
  BOOST_TEST(!store.configuration()->isZoneInService("a"));
  BOOST_TEST(store.revision() == 2U);
}

BOOST_AUTO_TEST_CASE(never_reverts_whatever_the_order_of_arrival)
{
  config::DocumentStore store;
  store.merge(5, { { "zones", 5, kZonesOut } });
  store.merge(3, { { "zones", 3, kZonesIn } });
  BOOST_TEST(!store.configuration()->isZoneInService("a"));
  BOOST_TEST(store.revision() == 5U);
}

BOOST_AUTO_TEST_CASE(lists_documents_newer_than_a_revision_including_tombstones)
{
  config::DocumentStore store;
  store.merge(1, { { "zones", 1, kZonesIn } });
  store.merge(2, { { "zones", 2, std::nullopt } });
  const auto documents = store.documentsAfter(1);
  BOOST_REQUIRE(documents.size() == 1U);
  BOOST_TEST(!documents[0].mText.has_value());
}

BOOST_AUTO_TEST_CASE(names_every_fault_of_a_service_with_its_path)
{
  config::DocumentStore store;
  const auto errors =
    store.merge(1,
                { { "service/x",
                    1,
                    R"({"address": "nowhere", "upstreams": [{"name": "u", "agent": "127.0.0.1:1",
          "address": "127.0.0.1:2", "zone": "a", "slots": 0, "state": "up", "extra": 1}]})" } });
  BOOST_TEST(errors.size() == 4U);
  BOOST_TEST(store.configuration()->mServices.empty());
}

BOOST_AUTO_TEST_CASE(shares_every_service_that_a_change_leaves_alone)
{
  config::DocumentStore store;
  store.merge(2, { { "service/x", 1, kService }, { "service/y", 2, kOtherService } });
  const auto before = store.configuration();
  store.merge(3, { { "service/y", 3, kOtherLeaving } });
  const auto after = store.configuration();
  BOOST_TEST(
    after->mServices.at("x").mUpstreams.sharesElementsWith(before->mServices.at("x").mUpstreams));
  BOOST_TEST(
    !after->mServices.at("y").mUpstreams.sharesElementsWith(before->mServices.at("y").mUpstreams));
}

BOOST_AUTO_TEST_CASE(a_document_restored_to_an_earlier_text_replaces_the_text_in_between)
{
  config::DocumentStore behind;
  behind.merge(1, { { "service/y", 1, kOtherService } });
  behind.merge(5, { { "service/y", 5, kOtherLeaving } });
  config::DocumentStore ahead; // has not received revision 5
  ahead.merge(1, { { "service/y", 1, kOtherService } });
  ahead.merge(9, { { "service/y", 9, kOtherService } });
  const auto batch = ahead.batchAfter(behind.revision(), SIZE_MAX);
  behind.merge(batch.mRevision, batch.mDocuments);
  const auto& upstream = behind.configuration()->mServices.at("y").mUpstreams[0];
  BOOST_TEST((upstream.mState == config::UpstreamState::kServing));
}

BOOST_AUTO_TEST_CASE(a_document_between_two_revisions_of_the_same_text_is_old)
{
  config::DocumentStore store;
  store.merge(1, { { "service/y", 1, kOtherService } });
  store.merge(9, { { "service/y", 9, kOtherService } });
  store.merge(9, { { "service/y", 5, kOtherLeaving } });
  const auto& upstream = store.configuration()->mServices.at("y").mUpstreams[0];
  BOOST_TEST((upstream.mState == config::UpstreamState::kServing));
}

BOOST_AUTO_TEST_CASE(a_copy_of_a_service_that_is_changed_leaves_the_original_alone)
{
  config::DocumentStore store;
  store.merge(1, { { "service/x", 1, kService } });
  auto copy = store.configuration()->mServices.at("x");
  copy.mUpstreams[0].mSlots = 9;
  BOOST_TEST(store.configuration()->mServices.at("x").mUpstreams[0].mSlots == 1U);
}

BOOST_AUTO_TEST_CASE(batches_follow_each_other_without_a_gap)
{
  config::DocumentStore full;
  full.merge(
    9, { { "service/x", 3, kService }, { "service/y", 3, kOtherService }, { "zones", 7, {} } });
  const auto first = full.batchAfter(0, 1);
  BOOST_TEST(first.mDocuments.size() == 2U);
  BOOST_TEST(first.mRevision == 3U);
  const auto second = full.batchAfter(first.mRevision, 1);
  BOOST_TEST(second.mDocuments.size() == 1U);
  BOOST_TEST(second.mRevision == 9U);
}

BOOST_AUTO_TEST_CASE(names_the_keys_whose_newest_document_was_rejected)
{
  config::DocumentStore store;
  store.merge(2, { { "zones", 2, "?" } });
  BOOST_REQUIRE(store.rejectedKeys().size() == 1U);
  store.merge(2, { { "zones", 1, kZonesOut } });
  BOOST_TEST(!store.configuration()->isZoneInService("a"));
  BOOST_TEST(store.rejectedKeys().size() == 1U);
  store.merge(3, { { "zones", 3, kZonesIn } });
  BOOST_TEST(store.rejectedKeys().empty());
}

// Guards against a document that programs which predate it would reject, with a warning each time.
BOOST_AUTO_TEST_CASE(the_reader_state_is_sent_on_request_only_and_survives_a_snapshot)
{
  config::DocumentStore store;
  store.merge(3, { { "zones", 3, kZonesIn }, { "reader_state", 3, "{}" } });
  BOOST_TEST(store.batchAfter(0, SIZE_MAX).mDocuments.size() == 1U);
  BOOST_TEST(store.documentsForKeys({ "reader_state" }).size() == 1U);
  BOOST_TEST(store.merge({ 5, { { "zones", 4, kZonesOut } }, true }).empty());
  BOOST_TEST(store.documentsForKeys({ "reader_state" }).front().mText.has_value());
}

// Guards against upstreams that stay unlisted after two services have exchanged addresses: each
// document conflicts with the accepted version of the other one.
BOOST_AUTO_TEST_CASE(services_that_exchange_endpoints_are_accepted_together)
{
  const auto withUpstream = [](const std::string& aHost) {
    return R"({"upstreams": [{"name": "u", "agent": ")" + aHost + R"(:1", "address": ")" + aHost +
           R"(:2", "zone": "a", "slots": 1, "state": "serving"}]})";
  };
  config::DocumentStore store;
  store.merge(2,
              { { "service/x", 1, withUpstream("127.0.0.1") },
                { "service/y", 2, withUpstream("127.0.0.2") } });
  const auto errors = store.merge(4,
                                  { { "service/x", 3, withUpstream("127.0.0.2") },
                                    { "service/y", 4, withUpstream("127.0.0.1") } });
  BOOST_TEST(errors.empty());
  BOOST_TEST(store.rejectedKeys().empty());
  const auto hostOf = [&](const std::string& aService) {
    return store.configuration()->mServices.at(aService).mUpstreams[0].mAgent.toString();
  };
  BOOST_TEST(hostOf("x") == "127.0.0.2:1");
  BOOST_TEST(hostOf("y") == "127.0.0.1:1");
  // A third service that uses one of the endpoints as well stays rejected.
  BOOST_TEST(!store.merge(5, { { "service/z", 5, withUpstream("127.0.0.1") } }).empty());
  BOOST_TEST(!store.configuration()->mServices.contains("z"));
}

// Guards against a route that goes back: a reader that was alone adopted a change while the service
// recovered, and the others, which lack it, have reached the later epoch.
BOOST_AUTO_TEST_CASE(an_address_keeps_the_later_number_although_its_epoch_is_lower)
{
  constexpr const char* kOld = R"({"services": [{"service": "x", "weight": 1}]})";
  constexpr const char* kNew = R"({"services": [{"service": "y", "weight": 1}]})";
  const std::string key = "address/198.18.0.1:443";
  config::DocumentStore store;
  store.merge({ config::makeRevision(1, 4), { { key, config::makeRevision(1, 4), kNew } } });
  const std::uint64_t settled = config::makeRevision(2, 3);
  store.merge({ settled, { { key, settled, kOld }, { "zones", settled, kZonesOut } }, true });
  BOOST_TEST(*store.documentsForKeys({ key }).front().mText == kNew);
  BOOST_TEST(!store.configuration()->isZoneInService("a"));
  store.merge({ settled, { { "zones", settled, kZonesOut } }, true });
  BOOST_TEST(store.documentsForKeys({ key }).front().mText.has_value());
  const std::uint64_t next = config::makeRevision(3, 1);
  store.merge({ next, { { key, next, kOld } } });
  BOOST_TEST(*store.documentsForKeys({ key }).front().mText == kOld);
}

// Guards against a removed route that a late response of the service brings back.
BOOST_AUTO_TEST_CASE(a_batch_whose_revision_was_reached_since_its_request_is_overtaken)
{
  config::DocumentStore store;
  store.merge(5, {});
  BOOST_TEST(!store.isOvertaken({ 5, {} }, 5));
  BOOST_TEST(!store.isOvertaken({ 6, {} }, 4));
  BOOST_TEST(store.isOvertaken({ 5, {} }, 4));
}

BOOST_AUTO_TEST_SUITE_END()
