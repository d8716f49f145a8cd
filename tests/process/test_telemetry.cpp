#include "process/support/deployment.hpp"
#include "tools/timeline/log_event.hpp"
#include "unit/support/documented.hpp"

#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

using namespace cornelcross;
using test::Deployment;

namespace {

constexpr int kNet = 5;

/// Names and types in the "# TYPE" lines of an exposition.
std::map<std::string, std::string> exposed(const std::string& aAdmin)
{
  std::map<std::string, std::string> types;
  std::istringstream stream(test::httpGet(aAdmin, "/metrics"));
  for (std::string line; std::getline(stream, line);) {
    std::istringstream words(line);
    std::string hash;
    std::string keyword;
    std::string name;
    std::string type;
    if (words >> hash >> keyword >> name >> type && hash == "#" && keyword == "TYPE") {
      types[name] = type;
    }
  }
  return types;
}

nlohmann::json status(const std::string& aAdmin)
{
  const std::string answer = test::httpGet(aAdmin, "/status");
  BOOST_REQUIRE(answer.starts_with("200 "));
  return nlohmann::json::parse(answer.substr(4));
}

void checkLines(const std::string& aLog)
{
  const auto rows = test::documentedRows("EVENTS.md", "Events of the product");
  std::istringstream stream(aLog);
  for (std::string line; std::getline(stream, line);) {
    const auto event = tools::timeline::LogEvent::parse(line);
    BOOST_REQUIRE_MESSAGE(event.has_value(), "no event: " << line);
    BOOST_REQUIRE_MESSAGE(rows.count(event->mKind) == 1, "undocumented: " << line);
    const auto fields = test::namesIn(rows.at(event->mKind));
    for (const auto& [name, value] : event->mFields) {
      const bool isKnown = std::find(fields.begin(), fields.end(), name) != fields.end();
      BOOST_TEST(isKnown, name << " is undocumented: " << line);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(telemetry)

BOOST_AUTO_TEST_CASE(every_metric_is_documented_and_every_documented_one_is_exposed)
{
  Deployment deployment(kNet, 0, true);
  auto found = exposed(deployment.balancerAdmin());
  found.merge(exposed(deployment.agentAdmin()));
  const auto rows = test::documentedRows("METRICS.md", "/metrics");
  for (const auto& [name, type] : found) {
    BOOST_REQUIRE_MESSAGE(rows.count(name) == 1, name << " is not in docs/METRICS.md");
    BOOST_TEST(rows.at(name).starts_with(type), name << " has another type in docs/METRICS.md");
  }
  for (const auto& [name, type] : rows) {
    BOOST_TEST(found.count(name) == 1U, name << " is in docs/METRICS.md only");
  }
}

BOOST_AUTO_TEST_CASE(status_tells_revision_upstreams_and_limits)
{
  Deployment deployment(kNet, 0, true);
  const auto agent = status(deployment.agentAdmin());
  BOOST_TEST(agent["revision"] == 1);
  BOOST_TEST(agent["upstream"]["name"] == "u");
  BOOST_TEST(agent["upstream"]["slots"] == 3);
  BOOST_TEST(agent["last_refusals"].is_array());
  const auto balancer = status(deployment.balancerAdmin());
  BOOST_REQUIRE(balancer["upstreams"].size() == 1U);
  BOOST_TEST(balancer["upstreams"][0]["state"] == "serving");
  BOOST_TEST(balancer["upstreams"][0]["eligible"] == true);
}

BOOST_AUTO_TEST_CASE(every_logged_line_is_a_documented_event)
{
  Deployment deployment(kNet, 0, true);
  for (test::Child* child : { &deployment.balancer(), &deployment.agent() }) {
    child->signal(SIGTERM);
    const std::string log = child->output();
    BOOST_TEST(log.find("event=process_stopped") != std::string::npos);
    checkLines(log);
  }
}

BOOST_AUTO_TEST_SUITE_END()
