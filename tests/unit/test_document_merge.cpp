#include "config/document_store.hpp"

#include <boost/test/unit_test.hpp>
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
    if (revision % 3 == 0) {
      documents.push_back({ "workspaces",
                            revision,
                            R"({"workspaces": [{"name": ")" + name + R"(", "prefixes": []}]})" });
    } else {
      documents.push_back(
        { "zones",
          revision,
          R"({"zones": [{"name": ")" + name + R"(", "state": ")" + state + R"("}]})" });
    }
  }
  return documents;
}

} // namespace

BOOST_AUTO_TEST_SUITE(document_merge)

BOOST_AUTO_TEST_CASE(any_order_with_repetitions_gives_the_same_configuration)
{
  const auto documents = racingDocuments();
  config::DocumentStore expected;
  expected.merge(12, documents);
  const bool holds = rc::check([&] {
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, documents.size()));
    config::DocumentStore store;
    for (const std::size_t index : order) {
      store.merge(documents[index].mRevision, { documents[index] });
    }
    for (auto it = documents.rbegin(); it != documents.rend(); ++it) {
      store.merge(it->mRevision, { *it });
    }
    RC_ASSERT(*store.configuration() == *expected.configuration());
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
