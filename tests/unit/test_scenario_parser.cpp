#include "scenarios/language/parser.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using scenarios::parseScript;

namespace {

const std::vector<scenarios::Rule> kRules{ { "cut NAME to NAME", {} },
                                           { "cut NAME and NAME", {} },
                                           { "wait DURATION", {} },
                                           { "set NAME leaving|serving", {} },
                                           { "publish NAME TEXT", {} } };

} // namespace

BOOST_AUTO_TEST_SUITE(scenario_parser)

BOOST_AUTO_TEST_CASE(parses_one_step_per_line_and_skips_comments)
{
  const auto script = parseScript("# first\n\ncut a to zone:b # both\nwait 250ms\n", kRules);
  const auto& steps = std::get<std::vector<scenarios::Step>>(script);
  BOOST_REQUIRE(steps.size() == 2U);
  BOOST_TEST(steps[0].mLine == 3U);
  BOOST_TEST(steps[0].mArguments.text(1) == "zone:b");
  BOOST_TEST(steps[1].mArguments.duration(0).count() == 250);
}

BOOST_AUTO_TEST_CASE(reports_the_line_and_the_expected_form_of_each_error)
{
  const auto script = parseScript("wait 5s\nwait 5\njump a\nset a gone\n", kRules);
  const auto& errors = std::get<std::vector<scenarios::SyntaxError>>(script);
  BOOST_REQUIRE(errors.size() == 3U);
  BOOST_TEST(errors[0].toString() == "line 2: expected \"wait DURATION\"");
  BOOST_TEST(errors[1].toString() == "line 3: unknown step \"jump\"");
  BOOST_TEST(errors[2].mLine == 4U);
}

BOOST_AUTO_TEST_CASE(parses_the_rest_of_the_line_as_text)
{
  const auto script = parseScript("publish zones {\"zones\": [}", kRules);
  const auto& steps = std::get<std::vector<scenarios::Step>>(script);
  BOOST_TEST(steps.at(0).mArguments.text(1) == "{\"zones\": [}");
}

BOOST_AUTO_TEST_SUITE_END()
