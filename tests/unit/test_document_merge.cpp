#include "config/document_store.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cornelcross;

namespace {

/// Revisions 1 to 12 of three keys, written by operators in turn; every fifth is faulty.
std::vector<config::Document> racingDocuments()
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
  const auto documents = racingDocuments();
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

constexpr const char* kAddressText = R"({"services": [{"service": "log", "weight": 1}]})";

// A process that starts while another has yet to hear of a removal reads everything from the
// service, and is the first that the other one asks.
BOOST_AUTO_TEST_CASE(a_process_that_began_later_tells_what_was_removed_before)
{
  config::DocumentStore old;
  old.merge(12, { { "address/198.18.0.11:443", 12, kAddressText } });
  config::DocumentStore fresh;
  fresh.merge(15, { { "address/198.18.0.13:443", 15, kAddressText } });
  const auto batch = fresh.batchAfter(old.revision(), SIZE_MAX);
  old.merge(batch);
  BOOST_TEST((old.configuration()->mAddresses == fresh.configuration()->mAddresses));
  // From then on changes alone do, and what is newer than the list stays.
  BOOST_TEST(!fresh.batchAfter(old.revision(), SIZE_MAX).mIsSnapshot);
  old.merge(16, { { "address/198.18.0.14:443", 16, kAddressText } });
  BOOST_TEST(old.removalsImpliedBy(batch).empty());
}

BOOST_AUTO_TEST_CASE(a_process_that_lacks_a_faulty_document_does_not_tell_that_it_was_removed)
{
  config::DocumentStore fresh;
  fresh.merge(15, { { "address/198.18.0.13:443", 15, kAddressText }, { "zones", 14, "?" } });
  BOOST_TEST(!fresh.batchAfter(12, SIZE_MAX).mIsSnapshot);
}

BOOST_AUTO_TEST_SUITE_END()
