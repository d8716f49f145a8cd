#include "platform/host_settings.hpp"
#include "platform/role_settings.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

using namespace cornelcross;

namespace {

nlohmann::json completeSettings()
{
  return nlohmann::json::parse(R"({
    "nodeName": "side-a-1", "zone": "a", "zones": {"b": "r", "a": "r"},
    "bindAddrs": {"datagramAddr": "10.1.0.12:8172", "outbound": "10.1.0.12:8162",
                  "readiness": "10.1.0.12:8167"},
    "internalPorts": [7720, 7735], "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
    "heartbeatMs": 770, "platform": {"address": "10.200.1.7:8169"},
    "bounds": {"maxFlowS": 60, "graceS": 6}, "somethingNew": {"x": [1]}})");
}

std::vector<config::ConfigError> errorsOf(const nlohmann::json& aSettings)
{
  const auto result = platform::parseHostSettings(aSettings.dump());
  const auto* errors = std::get_if<std::vector<config::ConfigError>>(&result);
  return errors == nullptr ? std::vector<config::ConfigError>{} : *errors;
}

platform::HostSettings settingsOf(const nlohmann::json& aSettings)
{
  return std::get<platform::HostSettings>(platform::parseHostSettings(aSettings.dump()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_settings)

BOOST_AUTO_TEST_CASE(reads_the_required_fields_and_ignores_unknown_fields)
{
  const auto settings = settingsOf(completeSettings());
  BOOST_TEST(settings.mPacketEndpoint.toString() == "10.1.0.12:8172");
  BOOST_TEST(settings.mBackendEndpoint->toString() == "10.1.0.12:8162");
  BOOST_TEST(settings.mFirstInternalPort == 7720);
  BOOST_TEST((settings.mZones == std::vector<std::string>{ "a", "b" }));
  BOOST_TEST(settings.mSeeds.size() == 2U);
  BOOST_TEST(settings.mFlowLifetimeMs == 60000U);
}

// Pattern: the whole system starts, and every process reads all pages of the store.
BOOST_AUTO_TEST_CASE(at_the_first_start_all_but_the_seeds_wait_for_documents_of_peers)
{
  const auto leadTime = [](const nlohmann::json& aSettings) {
    return platform::agentSettings(settingsOf(aSettings)).mMembership.mSync.mSeedLeadTime;
  };
  auto json = completeSettings();
  const auto usual = leadTime(json);
  json["bootstrap"] = true;
  BOOST_TEST((leadTime(json) > usual));
  json["seeds"][0] = "10.1.0.12:8166"; // this process
  BOOST_TEST((leadTime(json) == usual));
  json["bootstrap"] = "yes";
  json["seeds"] = nlohmann::json::array();
  BOOST_TEST((leadTime(json) == usual));
}

BOOST_AUTO_TEST_CASE(an_agent_gets_the_service_and_the_endpoint_of_its_backend)
{
  auto json = completeSettings();
  json["service"] = "log";
  json["app"] = "10.1.0.12:8165";
  const auto agent = platform::agentSettings(settingsOf(json)).mAgent;
  BOOST_TEST(agent.mService == "log");
  BOOST_TEST(agent.mUpstreamAddress->toString() == "10.1.0.12:8165");
  json["service"] = 5;
  json["app"] = "10.1.0.12";
  BOOST_TEST(errorsOf(json).size() == 2U);
}

// Guards against an agent that serves the former service of its VM until it restarts.
BOOST_AUTO_TEST_CASE(a_running_agent_takes_up_another_backend)
{
  auto json = completeSettings();
  json["service"] = "log";
  json["app"] = "10.1.0.12:8165";
  const auto hooks = platform::deploymentHooks(
    settingsOf(json), [&json] { return platform::parseHostSettings(json.dump()); });
  json["service"] = "cert";
  json["app"] = "10.1.0.12:8166";
  const auto reloaded = hooks.mReloadSettings();
  const auto* update = std::get_if<net::SettingsUpdate>(&reloaded);
  BOOST_REQUIRE(update != nullptr);
  BOOST_TEST(update->mService == "cert");
  BOOST_TEST(update->mUpstream->toString() == "10.1.0.12:8166");
  BOOST_TEST(!update->mNeedsRestart);
}

// Guards against a process that does not start: the bound may be a fraction or empty.
BOOST_AUTO_TEST_CASE(reads_the_time_until_an_address_is_used_again)
{
  auto json = completeSettings();
  BOOST_TEST(settingsOf(json).mReuseAfterMs == 0U);
  json["bounds"]["reuseAfterS"] = 1.5;
  BOOST_TEST(settingsOf(json).mReuseAfterMs == 1500U);
  BOOST_TEST((platform::agentSettings(settingsOf(json)).mAgent.mUpstreamWatch.mReuseDelay ==
              std::chrono::milliseconds(1500)));
  for (const auto& unusable : { nlohmann::json(), nlohmann::json(""), nlohmann::json(-1) }) {
    json["bounds"]["reuseAfterS"] = unusable;
    BOOST_TEST(settingsOf(json).mReuseAfterMs == 0U);
  }
}

/// Values of a figure as JSON. The empty text stands for no member.
const std::vector<std::string> kFigures{ "6",     "6.5",   "0.25", "",        "0",    "-1",
                                         "1e300", "86401", "null", "\"six\"", "true", "[6]" };

/// Checks for each value of a figure that the program starts, or that one line names the path, the
/// value and what is accepted.
void checkFigure(const std::string& aPath, const std::set<std::string>& aRejected)
{
  const nlohmann::json::json_pointer path(aPath);
  for (const std::string& figure : kFigures) {
    auto json = completeSettings();
    json[path] = figure.empty() ? nlohmann::json() : nlohmann::json::parse(figure);
    if (figure.empty()) {
      json[path.parent_pointer()].erase(path.back());
    }
    const auto errors = errorsOf(json);
    const bool isRejected = aRejected.contains(figure);
    BOOST_TEST(errors.size() == (isRejected ? 1U : 0U), aPath << " " << figure);
    if (isRejected && errors.size() == 1) {
      std::string dotted = "settings" + aPath;
      std::replace(dotted.begin(), dotted.end(), '/', '.');
      const std::string found = figure.empty() ? "nothing" : json[path].dump();
      const std::string line = errors.front().toString();
      BOOST_TEST(line.starts_with(dotted + ": expected a number from "), line);
      BOOST_TEST(line.ends_with(", found " + found), line);
    }
  }
}

// Guards against a program that does not start: figures may be fractions, and those that it does
// not use may be anything.
BOOST_AUTO_TEST_CASE(each_figure_starts_the_program_or_is_named_in_one_line)
{
  const std::set<std::string> noTime{
    "", "null", "\"six\"", "true", "[6]", "-1", "1e300", "86401"
  };
  auto notPositive = noTime;
  notPositive.insert("0");
  auto heartbeat = notPositive;
  heartbeat.insert("0.25"); // below a millisecond
  heartbeat.erase("86401");
  checkFigure("/bounds/graceS", noTime);
  checkFigure("/bounds/maxFlowS", notPositive);
  checkFigure("/heartbeatMs", heartbeat);
  checkFigure("/bounds/reuseAfterS", {});
  for (const char* unused : { "seedLagS",
                              "contactMs",
                              "ackMs",
                              "catchUpS",
                              "drainMs",
                              "lossSlackMs",
                              "configApplyMs",
                              "backMs",
                              "outerMs",
                              "warmupFactor",
                              "warmupSlack",
                              "evacuateMs",
                              "recoveryS",
                              "flowMs",
                              "leaseMs" }) {
    checkFigure(std::string("/bounds/") + unused, {});
  }
  for (const char* unused : { "historyS", "readsPerS", "writesPerS", "valueBytes", "ttlMinMs" }) {
    checkFigure(std::string("/platform/") + unused, {});
  }
  for (const char* unused : { "cpuShare", "cores", "memoryMb", "maxFds", "linkMbps", "diskMb" }) {
    checkFigure(std::string("/limits/") + unused, {});
  }
}

BOOST_AUTO_TEST_CASE(a_bound_that_is_a_fraction_is_used_as_it_is)
{
  auto json = completeSettings();
  json["bounds"]["graceS"] = 6.5;
  json["bounds"]["maxFlowS"] = 20.25;
  json["heartbeatMs"] = 770.5;
  const auto settings = settingsOf(json);
  BOOST_TEST(settings.mGraceMs == 6500U);
  BOOST_TEST(settings.mFlowLifetimeMs == 20250U);
  BOOST_TEST(settings.mBackendHeartbeatMs == 770U);
  BOOST_TEST(platform::agentSettings(settings).mDrainSeconds == 4U);
  BOOST_TEST(
    (platform::agentSettings(settings).mAgent.mIdleTimeout == std::chrono::milliseconds(20250)));
  json["bounds"]["graceS"] = 0.5;
  BOOST_TEST(platform::agentSettings(settingsOf(json)).mDrainSeconds == 0U);
  BOOST_TEST(platform::balancerSettings(settingsOf(json)).mDrainSeconds == 0U);
}

// Guards against an error that does not state which value was found.
BOOST_AUTO_TEST_CASE(an_error_names_the_value)
{
  const std::vector<std::tuple<std::string, nlohmann::json, std::string>> cases{
    { "/nodeName", 5, "settings.nodeName: expected a non-empty string, found 5" },
    { "/seeds/1",
      "nowhere",
      R"(settings.seeds[1]: expected an IPv4 address and port as "a.b.c.d:port", found "nowhere")" },
    { "/internalPorts/0", 70000, "settings.internalPorts[0]: expected a port, found 70000" },
  };
  for (const auto& [path, value, line] : cases) {
    auto json = completeSettings();
    json[nlohmann::json::json_pointer(path)] = value;
    const auto errors = errorsOf(json);
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(errors.front().toString() == line);
  }
  auto json = completeSettings();
  json["nodeName"] = nlohmann::json::array({ std::string(10000, 'x') });
  BOOST_TEST(errorsOf(json).front().toString().size() < 300U);
}

BOOST_AUTO_TEST_CASE(a_balancer_needs_no_backend_address)
{
  auto json = completeSettings();
  json["bindAddrs"].erase("outbound");
  BOOST_TEST(!settingsOf(json).mBackendEndpoint.has_value());
}

BOOST_AUTO_TEST_CASE(lists_every_missing_field)
{
  for (const char* field :
       { "nodeName", "zone", "bindAddrs", "internalPorts", "heartbeatMs", "platform", "bounds" }) {
    auto json = completeSettings();
    json.erase(field);
    BOOST_TEST(!errorsOf(json).empty(), field);
  }
  BOOST_TEST(errorsOf(nlohmann::json::object()).size() >= 8U);
}

BOOST_AUTO_TEST_CASE(reports_a_field_of_the_wrong_type_and_a_seed_that_is_no_address)
{
  auto json = completeSettings();
  json["heartbeatMs"] = "soon";
  json["seeds"][1] = "nowhere";
  BOOST_TEST(errorsOf(json).size() == 2U);
  BOOST_TEST(errorsOf(nlohmann::json("text")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(changed_seeds_are_applied_and_an_invalid_file_is_reported_once)
{
  auto json = completeSettings();
  const auto deploymentHooks = platform::deploymentHooks(
    settingsOf(json), [&] { return platform::parseHostSettings(json.dump()); });
  BOOST_TEST(std::holds_alternative<net::SettingsUnchanged>(deploymentHooks.mReloadSettings()));
  json["seeds"] = { "10.3.0.7:8166" };
  const auto reloaded = deploymentHooks.mReloadSettings();
  const auto* update = std::get_if<net::SettingsUpdate>(&reloaded);
  BOOST_REQUIRE(update != nullptr);
  BOOST_TEST(update->mSeeds.size() == 1U);
  BOOST_TEST(update->mSeeds[0].toString() == "10.3.0.7:8172");
  BOOST_TEST(!update->mNeedsRestart);
  json.erase("zone");
  BOOST_TEST(std::holds_alternative<net::SettingsError>(deploymentHooks.mReloadSettings()));
  BOOST_TEST(std::holds_alternative<net::SettingsUnchanged>(deploymentHooks.mReloadSettings()));
  json["zone"] = "b";
  const auto moved = deploymentHooks.mReloadSettings();
  BOOST_REQUIRE(std::holds_alternative<net::SettingsUpdate>(moved));
  BOOST_TEST(std::get<net::SettingsUpdate>(moved).mNeedsRestart);
}

BOOST_AUTO_TEST_SUITE_END()
