#include "process/support/deployment.hpp"
#include "tools/timeline/log_event.hpp"
#include "unit/support/documented.hpp"

#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

using namespace cornelcross;
using test::Deployment;

namespace {

constexpr int kNetworkOctet = 5;

/// Types of the metrics that an admin endpoint exposes in "# TYPE" lines, by name.
std::map<std::string, std::string> exposedMetricTypes(const std::string& aAdmin)
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

/// Requests and parses the status page of an admin endpoint.
nlohmann::json queryStatus(const std::string& aAdmin)
{
  const std::string response = test::httpGet(aAdmin, "/status");
  BOOST_REQUIRE(response.starts_with("200 "));
  return nlohmann::json::parse(response.substr(4));
}

/// Checks that each line is an event of docs/EVENTS.md with documented fields only.
void checkLoggedEvents(const std::string& aLog)
{
  const auto rows = test::documentedRows("EVENTS.md", "Events of the product");
  std::istringstream stream(aLog);
  for (std::string line; std::getline(stream, line);) {
    const auto event = tools::timeline::LogEvent::parse(line);
    BOOST_REQUIRE_MESSAGE(event.has_value(), "not an event: " << line);
    BOOST_REQUIRE_MESSAGE(rows.count(event->mKind) == 1, "undocumented: " << line);
    const auto fields = test::namesIn(rows.at(event->mKind));
    for (const auto& [name, value] : event->mFields) {
      const bool isDocumented = std::find(fields.begin(), fields.end(), name) != fields.end();
      BOOST_TEST(isDocumented, name << " is undocumented: " << line);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(telemetry)

BOOST_AUTO_TEST_CASE(every_exposed_metric_is_documented_and_every_documented_metric_is_exposed)
{
  Deployment deployment(kNetworkOctet, 0, true);
  auto exposedMetrics = exposedMetricTypes(deployment.balancerAdmin());
  exposedMetrics.merge(exposedMetricTypes(deployment.agentAdmin()));
  const auto rows = test::documentedRows("METRICS.md", "/metrics");
  for (const auto& [name, type] : exposedMetrics) {
    BOOST_REQUIRE_MESSAGE(rows.count(name) == 1, name << " is not in docs/METRICS.md");
    BOOST_TEST(rows.at(name).starts_with(type), name << " has a different type in docs/METRICS.md");
  }
  for (const auto& [name, type] : rows) {
    BOOST_TEST(exposedMetrics.count(name) == 1U, name << " is in docs/METRICS.md only");
  }
}

BOOST_AUTO_TEST_CASE(every_drop_reason_is_documented)
{
  Deployment deployment(kNetworkOctet, 0, true);
  std::ifstream file(std::string(CORNELCROSS_SOURCE_FOLDER) + "/docs/METRICS.md");
  const std::string page{ std::istreambuf_iterator<char>(file), {} };
  for (const std::string& admin : { deployment.balancerAdmin(), deployment.agentAdmin() }) {
    const std::string text = test::httpGet(admin, "/metrics");
    const std::string label = "dropped_total{reason=\"";
    BOOST_TEST(text.find(label) != std::string::npos);
    for (auto at = text.find(label); at != std::string::npos; at = text.find(label, at + 1)) {
      const auto start = at + label.size();
      const std::string reason = text.substr(start, text.find('"', start) - start);
      const bool isListed = page.find("| " + reason + " |") != std::string::npos ||
                            page.find("| " + reason + ",") != std::string::npos ||
                            page.find(", " + reason) != std::string::npos;
      BOOST_TEST(isListed, reason << " is not in docs/METRICS.md");
    }
  }
}

BOOST_AUTO_TEST_CASE(status_page_contains_revision_upstreams_and_limits)
{
  Deployment deployment(kNetworkOctet, 0, true);
  const auto agent = queryStatus(deployment.agentAdmin());
  BOOST_TEST(agent["revision"] == 1);
  BOOST_TEST(agent["upstream"]["name"] == "u");
  BOOST_TEST(agent["upstream"]["slots"] == 3);
  BOOST_TEST(agent["last_refusals"].is_array());
  const auto balancer = queryStatus(deployment.balancerAdmin());
  BOOST_REQUIRE(balancer["upstreams"].size() == 1U);
  BOOST_TEST(balancer["upstreams"][0]["state"] == "serving");
  BOOST_TEST(balancer["upstreams"][0]["eligible"] == true);
}

BOOST_AUTO_TEST_CASE(every_logged_line_is_a_documented_event)
{
  Deployment deployment(kNetworkOctet, 0, true);
  for (test::Child* child : { &deployment.balancer(), &deployment.agent() }) {
    child->signal(SIGTERM);
    const std::string log = child->output();
    BOOST_TEST(log.find("event=process_stopped") != std::string::npos);
    checkLoggedEvents(log);
  }
}

BOOST_AUTO_TEST_SUITE_END()
