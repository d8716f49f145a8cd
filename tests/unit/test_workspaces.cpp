#include "config/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

BOOST_AUTO_TEST_SUITE(workspaces)

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_selects_the_workspace_in_any_order)
{
  const config::Workspace wide{ "wide", { config::Prefix::parse("10.0.0.0/8").value() } };
  const config::Workspace narrow{ "narrow", { config::Prefix::parse("10.1.0.0/16").value() } };
  const auto caller = flow::Ipv4Address::parse("10.1.2.3").value();
  config::Configuration configuration;
  configuration.mWorkspaces = { wide, narrow };
  BOOST_TEST(configuration.workspaceOf(caller) == 2U);
  configuration.mWorkspaces = { narrow, wide };
  BOOST_TEST(configuration.workspaceOf(caller) == 1U);
  BOOST_TEST(configuration.workspaceOf(flow::Ipv4Address::parse("11.0.0.1").value()) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
