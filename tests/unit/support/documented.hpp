#pragma once

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace cornelcross::test {

/// @brief Reads the table rows below the heading aHeading of the page docs/aPage. Maps the name in
/// backquotes in the first cell of each row to the text of the second cell; skips other rows.
inline std::map<std::string, std::string> documentedRows(const std::string& aPage,
                                                         const std::string& aHeading)
{
  std::ifstream file(std::string(CORNELCROSS_SOURCE_FOLDER) + "/docs/" + aPage);
  BOOST_REQUIRE_MESSAGE(file.good(), "docs/" << aPage << " is missing");
  std::map<std::string, std::string> rows;
  bool isBelowHeading = false;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("## ")) {
      isBelowHeading = line == "## " + aHeading;
    }
    const auto end = line.find("` | ");
    if (!isBelowHeading || !line.starts_with("| `") || end == std::string::npos) {
      continue;
    }
    const auto start = end + 4;
    rows[line.substr(3, end - 3)] = line.substr(start, line.find('|', start) - start);
  }
  return rows;
}

/// @brief Names in backquotes in the text of a table cell.
inline std::vector<std::string> namesIn(const std::string& aCell)
{
  std::vector<std::string> names;
  std::istringstream stream(aCell);
  std::string part;
  for (bool isName = false; std::getline(stream, part, '`'); isName = !isName) {
    if (isName) {
      names.push_back(part);
    }
  }
  return names;
}

} // namespace cornelcross::test
