#include "history/violation.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>

using namespace cornelcross;

namespace {

const std::filesystem::path kRoot{ CORNELCROSS_SOURCE_DIR };

/// Returns the rows of the table in docs/GUARANTEES.md that begin with a point in backticks, each
/// as a pair of its point and its text.
std::vector<std::pair<std::string, std::string>> tableRows()
{
  std::vector<std::pair<std::string, std::string>> found;
  std::ifstream file(kRoot / "docs" / "GUARANTEES.md");
  const std::regex row("^\\| `([a-z-]+)` \\|.*");
  for (std::string line; std::getline(file, line);) {
    std::smatch match;
    if (std::regex_match(line, match, row)) {
      found.emplace_back(match[1], line);
    }
  }
  return found;
}

/// Returns the names of the scripts that aRow lists as `NAME.scenario`.
std::vector<std::string> scriptsOf(const std::string& aRow)
{
  const std::regex name("`([a-z_]+)\\.scenario`");
  std::vector<std::string> scripts;
  for (std::sregex_iterator match(aRow.begin(), aRow.end(), name), end; match != end; ++match) {
    scripts.push_back((*match)[1]);
  }
  return scripts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(guarantees)

BOOST_AUTO_TEST_CASE(the_table_has_a_row_for_each_point)
{
  std::set<std::string> listed;
  for (const auto& [point, row] : tableRows()) {
    listed.insert(point);
  }
  for (int i = 0; i <= static_cast<int>(history::Point::kConfiguration); ++i) {
    const auto name = toString(static_cast<history::Point>(i));
    BOOST_TEST(listed.count(name) == 1U, "no row for " << name);
  }
}

BOOST_AUTO_TEST_CASE(each_row_names_scenarios_that_exist_and_prove_its_point)
{
  for (const auto& [point, row] : tableRows()) {
    const auto scripts = scriptsOf(row);
    BOOST_TEST(!scripts.empty(), "no scenario for " << point);
    bool isProved = false;
    for (const auto& script : scripts) {
      std::ifstream file(kRoot / "tests" / "scenarios" / "scripts" / (script + ".scenario"));
      BOOST_TEST(file.good(), "no scenario " << script);
      const std::string text{ std::istreambuf_iterator<char>(file), {} };
      isProved = isProved || text.find("proves " + point + " without ") != std::string::npos;
    }
    BOOST_TEST(isProved, "no scenario of the row proves " << point);
  }
}

BOOST_AUTO_TEST_SUITE_END()
