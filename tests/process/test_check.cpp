#include "process/support/child.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

using cornelcross::test::Child;

namespace {

std::string example(const std::string& aName)
{
  return std::string(CORNELCROSS_SOURCE_FOLDER) + "/examples/" + aName;
}

} // namespace

BOOST_AUTO_TEST_SUITE(check)

BOOST_AUTO_TEST_CASE(accepts_both_examples_at_their_sizes)
{
  for (const char* name : { "attica.json", "amhara.json" }) {
    Child child("cornelcross-check", { example(name) });
    const std::string output = child.output();
    BOOST_TEST(output.find(" services=2 upstreams=10 zones=3 ") != std::string::npos, output);
    BOOST_TEST(output.find(" errors=0 warnings=0\n") != std::string::npos, output);
    BOOST_TEST(child.exitCode() == 0);
  }
}

BOOST_AUTO_TEST_CASE(tells_bad_documents_from_bad_usage)
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
