#include "process/support/child.hpp"

#include <boost/test/unit_test.hpp>

using cornelcross::test::Child;

namespace {

const std::vector<std::string> kValidFlags = { "--listen=127.31.1.1:7000",
                                               "--admin=127.31.1.1:9000",
                                               "--config_service=127.31.1.2:8000" };

std::vector<std::string> withFlag(std::vector<std::string> aFlags, const std::string& aFlag)
{
  aFlags.push_back(aFlag);
  return aFlags;
}

bool contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(reports_every_error_at_once_with_exit_code_2)
{
  Child child("cornelcross-balancer",
              { "--listen=nowhere",
                "--admin=127.31.1.1:9000",
                "--config_service=127.31.1.1:9000",
                "--unknown=1",
                "--owner_cache=many",
                "extra" },
              { "CORNELCROSS_DRAIN_SECONDS=-1" });
  const std::string output = child.output();
  for (const char* error : { "--unknown: unknown flag",
                             "--owner_cache: expected a value of type uint32, found \"many\"",
                             "CORNELCROSS_DRAIN_SECONDS: expected a value of type uint32",
                             "--listen: expected ADDRESS:PORT, found \"nowhere\"",
                             "--config_service: expected another endpoint than --admin",
                             "unexpected argument \"extra\"" }) {
    BOOST_TEST(contains(output, error), error << " is missing in:\n" << output);
  }
  BOOST_TEST(child.exitCode() == 2);
}

BOOST_AUTO_TEST_CASE(reads_settings_from_the_environment_unless_the_command_line_sets_them)
{
  Child fromEnvironment("cornelcross-balancer", kValidFlags, { "CORNELCROSS_OWNER_CACHE=0" });
  BOOST_TEST(contains(fromEnvironment.output(), "--owner_cache: expected 1 to"));
  Child fromBoth("cornelcross-balancer",
                 withFlag(kValidFlags, "--owner_cache=0"),
                 { "CORNELCROSS_OWNER_CACHE=5", "CORNELCROSS_NAME=" });
  const std::string output = fromBoth.output();
  BOOST_TEST(contains(output, "--owner_cache: expected 1 to"));
  BOOST_TEST(contains(output, "--name: expected a non-empty name"));
}

BOOST_AUTO_TEST_CASE(rejects_an_agent_that_would_send_to_itself_or_has_no_reachable_address)
{
  Child child("cornelcross-agent",
              { "--listen=0.0.0.0:7000",
                "--admin=127.31.1.1:9000",
                "--fabric=0.0.0.0:7000",
                "--config_service=127.31.1.2:8000" });
  const std::string output = child.output();
  BOOST_TEST(contains(output, "--fabric: expected another endpoint than --listen"));
  BOOST_TEST(contains(output, "--advertise: expected an address at which other processes reach"));
  BOOST_TEST(child.exitCode() == 2);
}

BOOST_AUTO_TEST_CASE(shows_only_its_own_flags_in_the_help)
{
  for (const char* program : { "cornelcross-balancer",
                               "cornelcross-agent",
                               "cornelcross-check",
                               "cornelcross-timeline" }) {
    Child help(program, { "--help" });
    const std::string output = help.output();
    BOOST_TEST(contains(output, "Usage:"));
    BOOST_TEST(contains(output, "environment: CORNELCROSS_"));
    BOOST_TEST(!contains(output, "flagfile"));
    BOOST_TEST(!contains(output, "\nOther:"), "a flag without a group in " << program);
    BOOST_TEST(help.exitCode() == 0);
    Child version(program, { "--version" });
    BOOST_TEST(version.output().starts_with("cornelcross "));
  }
}

BOOST_AUTO_TEST_SUITE_END()
