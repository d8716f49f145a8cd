#include "config/document_store.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cornelcross;

namespace {

/// Returns revisions 1 to 12 of the documents "zones" and "workspaces", as operators write them in
/// turn; every fifth revision is invalid.
std::vector<config::Document> interleavedRevisions()
{
  std::vector<config::Document> documents;
  for (std::uint64_t revision = 1; revision <= 12; ++revision) {
    const std::string state = revision % 5 == 0 ? "?" : (revision % 2 == 0 ? "in" : "out");
    const std::string name = "zone-" + std::to_string(revision);
    const bool isZones = revision % 3 != 0;
    const nlohmann::json zones = { { "zones", { { { "name", name }, { "state", state } } } } };
    const nlohmann::json workspaces = {
      { "workspaces", { { { "name", name }, { "prefixes", nlohmann::json::array() } } } }
    };
    documents.push_back(
      { isZones ? "zones" : "workspaces", revision, (isZones ? zones : workspaces).dump() });
  }
  return documents;
}

} // namespace

BOOST_AUTO_TEST_SUITE(document_merge)

BOOST_AUTO_TEST_CASE(any_order_with_repetitions_gives_the_same_configuration)
{
  const auto documents = interleavedRevisions();
  const std::vector<config::Document> backwards(documents.rbegin(), documents.rend());
  config::DocumentStore expected;
  expected.merge(12, documents);
  BOOST_REQUIRE(!expected.configuration()->isZoneInService("zone-11"));
  const bool holds = rc::check([&] {
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, documents.size()));
    config::DocumentStore store;
    for (const std::size_t index : order) {
      store.merge(documents[index].mRevision, { documents[index] });
    }
    for (const auto& document : backwards) {
      store.merge(document.mRevision, { document });
    }
    RC_ASSERT(*store.configuration() == *expected.configuration());
  });
  BOOST_TEST(holds);
}

constexpr const char* kZones = R"({"zones": [{"name": "a", "state": "in"}]})";
constexpr const char* kAddressText = R"({"services": [{"service": "log", "weight": 1}]})";

// A process that starts before a peer has received a removal reads the whole configuration from the
// service. If it is the first process that the peer pulls from, its snapshot has to remove the
// deleted document there.
BOOST_AUTO_TEST_CASE(the_snapshot_of_a_later_process_removes_documents_deleted_before_its_start)
{
  config::DocumentStore peer;
  peer.merge(12, { { "address/198.18.0.11:443", 12, kAddressText } });
  config::DocumentStore starting;
  starting.merge(15, { { "address/198.18.0.13:443", 15, kAddressText } });
  const auto batch = starting.batchAfter(peer.revision(), SIZE_MAX);
  peer.merge(batch);
  BOOST_TEST((peer.configuration()->mAddresses == starting.configuration()->mAddresses));
  // Later batches hold changes only, and the earlier snapshot removes no document newer than
  // itself.
  BOOST_TEST(!starting.batchAfter(peer.revision(), SIZE_MAX).mIsSnapshot);
  peer.merge(16, { { "address/198.18.0.14:443", 16, kAddressText } });
  BOOST_TEST(peer.removalsImpliedBy(batch).empty());
}

BOOST_AUTO_TEST_CASE(a_process_with_a_rejected_document_sends_no_snapshot)
{
  config::DocumentStore starting;
  starting.merge(15, { { "address/198.18.0.13:443", 15, kAddressText }, { "zones", 14, "?" } });
  BOOST_TEST(!starting.batchAfter(12, SIZE_MAX).mIsSnapshot);
}

// Guards against a route that stays in force at a peer: the reader that lists the service never had
// it, and so has no tombstone of it.
BOOST_AUTO_TEST_CASE(a_store_that_may_lack_deletions_sends_a_snapshot_that_removes_what_it_lacks)
{
  config::DocumentStore peer;
  config::DocumentStore third;
  for (config::DocumentStore* store : { &peer, &third }) {
    store->merge(14,
                 { { "address/198.18.0.11:443", 12, kAddressText },
                   { "address/198.18.0.12:443", 14, kAddressText } });
  }
  config::DocumentStore reader;
  reader.merge(11, { { "address/198.18.0.11:443", 10, kAddressText } });
  reader.merge(15, { { "address/198.18.0.11:443", 15, std::nullopt }, { "zones", 15, kZones } });
  reader.setDeletionsUnknown();
  peer.merge(reader.batchAfter(peer.revision(), SIZE_MAX));
  BOOST_TEST(peer.configuration()->mAddresses.empty());
  third.merge(peer.batchAfter(third.revision(), SIZE_MAX));
  BOOST_TEST(third.configuration()->mAddresses.empty());
  BOOST_TEST(!reader.batchAfter(15, SIZE_MAX).mIsSnapshot);
}

BOOST_AUTO_TEST_SUITE_END()
