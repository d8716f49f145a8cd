#include "process/support/child.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

using cornelcross::test::Child;

namespace {

std::string examplePath(const std::string& aName)
{
  return std::string(CORNELCROSS_SOURCE_FOLDER) + "/examples/" + aName;
}

} // namespace

BOOST_AUTO_TEST_SUITE(check)

BOOST_AUTO_TEST_CASE(accepts_both_examples_and_counts_their_elements)
{
  for (const char* name : { "attica.json", "amhara.json" }) {
    Child check("cornelcross-check", { examplePath(name) });
    const std::string output = check.output();
    BOOST_TEST(output.find(" services=2 upstreams=10 zones=3 ") != std::string::npos, output);
    BOOST_TEST(output.find(" errors=0 warnings=0\n") != std::string::npos, output);
    BOOST_TEST(check.exitCode() == 0);
  }
}

BOOST_AUTO_TEST_CASE(exits_with_different_codes_for_invalid_documents_and_bad_usage)
{
  const std::string faulty = "cornelcross-test-faulty.json";
  std::ofstream(faulty) << R"({"zones": {"zones": [{"name": "a", "state": "?"}]}})";
  Child document("cornelcross-check", { faulty });
  BOOST_TEST(document.output().find("zones.zones[0].state: expected \"in\" or \"out\"") !=
             std::string::npos);
  BOOST_TEST(document.exitCode() == 1);
  std::remove(faulty.c_str());
  BOOST_TEST(Child("cornelcross-check", { "missing.json" }).exitCode() == 2);
  BOOST_TEST(Child("cornelcross-check", {}).exitCode() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
