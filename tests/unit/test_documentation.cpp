#include "telemetry/event.hpp"
#include "unit/support/documented.hpp"

#include <set>

using namespace cornelcross;

BOOST_AUTO_TEST_SUITE(documentation)

BOOST_AUTO_TEST_CASE(lists_every_event_and_no_other)
{
  std::set<std::string> known;
  for (int i = 0;; ++i) {
    const std::string name(toString(static_cast<telemetry::EventKind>(i)));
    if (name == "unknown") {
      break;
    }
    known.insert(name);
  }
  const auto rows = test::documentedRows("EVENTS.md", "Events of the product");
  for (const std::string& name : known) {
    BOOST_TEST(rows.count(name) == 1U, name << " is not in docs/EVENTS.md");
  }
  for (const auto& [name, fields] : rows) {
    BOOST_TEST(known.count(name) == 1U, name << " is in docs/EVENTS.md only");
  }
}

BOOST_AUTO_TEST_SUITE_END()
