#include "config/document_store.hpp"
#include "platform/store_translator.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

constexpr const char* kConfig = R"({"version": 7, "routes": [
  {"name": "r1", "hostname": "198.18.0.1", "prefix": "/443/", "service": "log"},
  {"name": "r2", "hostname": "198.18.0.1", "prefix": "/8080/",
   "trafficSplit": [{"service": "log", "weight": 90}, {"service": "cert", "weight": 10}]}],
  "services": [{"name": "log", "warmupS": 2.0, "warmupPerS": 12.5}, {"name": "cert"}]})";

std::string makeEntry(const std::string& aService,
                      const std::string& aAddress,
                      const std::string& aState = "ready",
                      std::uint64_t aBornMs = 1000,
                      int aSequence = 1,
                      int aWarmupLeftMs = 0)
{
  return nlohmann::json{
    { "service", aService },   { "address", aAddress },
    { "zone", "a" },           { "capacity", 7 },
    { "state", aState },       { "born", aBornMs },
    { "sequence", aSequence }, { "warmupLeftMs", aWarmupLeftMs },
    { "version", "v1" }
  }.dump();
}

/// StoreTranslator whose documents are merged into a document store after each change.
struct Fixture
{
  void replaceAll(const std::vector<platform::StoreItem>& aItems)
  {
    mTranslator.applySnapshot(mNow, 0, mRevision, aItems);
    mergeDocuments();
  }

  /// @return number of changed documents
  std::size_t update(const std::string& aKey, std::optional<std::string> aValue)
  {
    mTranslator.applyChanges(mNow, { { aKey, ++mRevision, std::move(aValue) } });
    return mergeDocuments();
  }

  /// Merges the translator's documents into the store. @return number of changed documents
  std::size_t mergeDocuments()
  {
    const auto documents = mTranslator.changedDocuments(mNow, ++mRevision, mStore.revision());
    const auto errors = mStore.merge(documents.empty() ? mStore.revision() : mRevision, documents);
    BOOST_TEST(errors.empty());
    return documents.size();
  }

  const config::Configuration& configuration() const { return *mStore.configuration(); }

  std::size_t upstreams(const std::string& aService) const
  {
    return configuration().mServices.at(aService).mUpstreams.size();
  }

  void start()
  {
    replaceAll({ { "op/config", 1, kConfig },
                 { "servers/x", 2, makeEntry("log", "10.0.0.1:80") },
                 { "servers/y", 3, makeEntry("log", "10.0.0.2:80") },
                 { "servers/z", 4, makeEntry("cert", "10.0.0.3:80") } });
    updateWithoutChanges(); // missing entries expire
  }

  /// Updates the translator without changes over 2.8 s, long enough for missing entries to expire.
  void updateWithoutChanges()
  {
    for (int i = 0; i < 4; ++i) {
      mNow += 700ms;
      mTranslator.applyChanges(mNow, {});
    }
    mergeDocuments();
  }

  platform::StoreTranslator makeTranslator()
  {
    return { { { "a", "b" }, 8172, 770ms },
             [this](const std::string& aKey) -> std::optional<config::Document> {
               const auto found = mStore.documentsForKeys({ aKey });
               return found.empty() ? std::nullopt : std::optional(found.front());
             },
             [this](const std::string& aPrefix) { return mStore.keysWithPrefix(aPrefix); },
             [this](const std::string& aKey, const std::string&) { mFaultyKeys.push_back(aKey); } };
  }

  base::Time mNow{ 100s };
  std::uint64_t mRevision = 10;
  std::vector<std::string> mFaultyKeys;
  config::DocumentStore mStore;
  platform::StoreTranslator mTranslator = makeTranslator();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_catalog, Fixture)

BOOST_AUTO_TEST_CASE(converts_entries_and_routes_to_documents)
{
  start();
  const auto& log = configuration().mServices.at("log");
  BOOST_TEST(log.mUpstreams.size() == 2U);
  BOOST_TEST(log.mUpstreams[0].mAgent.toString() == "10.0.0.1:8172");
  BOOST_TEST(log.mUpstreams[0].mStartedAtMs == 1000U);
  BOOST_TEST(log.mColdStart.mDurationMs == 2000U);
  BOOST_TEST(log.mColdStart.mMaxNewFlowsPerSecond == 12U);
  BOOST_TEST(configuration().mServices.at("cert").mColdStart.mMaxNewFlowsPerSecond == 0U);
  BOOST_TEST(configuration().mAddresses.size() == 2U);
  BOOST_TEST(configuration().servesNewFlows("cert", *flow::Endpoint::parse("198.18.0.1:8080")));
  BOOST_TEST(!configuration().serves("cert", *flow::Endpoint::parse("198.18.0.1:443")));
}

/// Another reader saw a change that was reverted before this reader read the store again. A process
/// that applied the change must receive the reverted state from this reader.
struct MissedChange : Fixture
{
  /// Applies a change to the peer that this reader never sees.
  void changeAtPeer(const std::string& aKey, std::optional<std::string> aText)
  {
    mPeer.merge(mRevision, mStore.documentsAfter(0));
    const std::uint64_t revision = ++mRevision;
    mPeer.merge(revision, { { aKey, revision, std::move(aText) } });
  }

  /// Sends the reader's newer documents to the peer. @return true if the configurations are equal
  bool agreesAfterPull()
  {
    const auto batch = mStore.batchAfter(mPeer.revision(), SIZE_MAX);
    mPeer.merge(batch.mRevision, batch.mDocuments);
    return mPeer.configuration()->mServices == configuration().mServices &&
           mPeer.configuration()->mAddresses == configuration().mAddresses &&
           mPeer.configuration()->mZones == configuration().mZones;
  }

  std::vector<platform::StoreItem> items(std::uint64_t aConfigRevision) const
  {
    return { { "op/config", aConfigRevision, kConfig },
             { "servers/x", 2, makeEntry("log", "10.0.0.1:80") },
             { "servers/y", 3, makeEntry("log", "10.0.0.2:80") },
             { "servers/z", 4, makeEntry("cert", "10.0.0.3:80") } };
  }

  config::DocumentStore mPeer;
};

const std::string kRoute = "address/198.18.0.1:8080";
constexpr const char* kOtherRoute = R"({"services": [{"service": "cert", "weight": 1}]})";

BOOST_FIXTURE_TEST_CASE(a_reverted_change_of_a_route_is_reported_after_a_list, MissedChange)
{
  start();
  changeAtPeer(kRoute, kOtherRoute);
  replaceAll(items(++mRevision));
  BOOST_TEST(agreesAfterPull());
}

BOOST_FIXTURE_TEST_CASE(a_reverted_change_of_a_route_is_reported_after_a_watch, MissedChange)
{
  start();
  changeAtPeer(kRoute, kOtherRoute);
  auto other = nlohmann::json::parse(kConfig);
  other["routes"][1]["trafficSplit"] = { { { "service", "cert" }, { "weight", 1 } } };
  other["routes"].push_back(
    { { "name", "r3" }, { "hostname", "198.18.0.9" }, { "prefix", "/80/" }, { "service", "log" } });
  mPeer.merge(mRevision,
              { { "address/198.18.0.9:80", mRevision, R"({"services": [{"service": "log"}]})" } });
  const std::uint64_t first = mRevision;
  mRevision += 2;
  mTranslator.applyChanges(
    mNow, { { "op/config", first, other.dump() }, { "op/config", first + 1, kConfig } });
  mergeDocuments();
  BOOST_TEST(agreesAfterPull());
}

BOOST_FIXTURE_TEST_CASE(a_reverted_removal_of_an_entry_is_reported, MissedChange)
{
  start();
  changeAtPeer("service/log", R"({"upstreams": []})");
  replaceAll(items(1));
  BOOST_TEST(agreesAfterPull());
  changeAtPeer("service/log", R"({"upstreams": []})");
  const std::uint64_t removalRevision = ++mRevision;
  mTranslator.applyChanges(mNow,
                           { { "servers/x", removalRevision, std::nullopt },
                             { "servers/x", ++mRevision, makeEntry("log", "10.0.0.1:80") } });
  mergeDocuments();
  BOOST_TEST(agreesAfterPull());
}

BOOST_FIXTURE_TEST_CASE(a_reverted_evacuation_of_a_zone_is_reported, MissedChange)
{
  start();
  const char* out = R"({"zones": [{"name": "a", "state": "out"}, {"name": "b", "state": "in"}]})";
  changeAtPeer("zones", out);
  replaceAll(items(1));
  BOOST_TEST(agreesAfterPull());
  changeAtPeer("zones", out);
  const std::uint64_t evacuationRevision = ++mRevision;
  mTranslator.applyChanges(mNow,
                           { { "op/evacuate/a", evacuationRevision, "" },
                             { "op/evacuate/a", ++mRevision, std::nullopt } });
  mergeDocuments();
  BOOST_TEST(agreesAfterPull());
}

BOOST_AUTO_TEST_CASE(a_heartbeat_changes_no_document)
{
  start();
  BOOST_TEST(update("servers/x", makeEntry("log", "10.0.0.1:80", "ready", 1000, 2)) == 0U);
}

BOOST_AUTO_TEST_CASE(states_and_cold_starts_are_reported)
{
  start();
  BOOST_TEST(update("servers/x", makeEntry("log", "10.0.0.1:80", "draining")) == 1U);
  BOOST_TEST(update("servers/y", makeEntry("log", "10.0.0.2:80", "ready", 2000, 1, 900)) == 1U);
  const auto& upstreams = configuration().mServices.at("log").mUpstreams;
  BOOST_TEST((upstreams[0].mState == config::UpstreamState::kLeaving));
  BOOST_TEST((upstreams[1].mState == config::UpstreamState::kJoining));
}

BOOST_AUTO_TEST_CASE(invalid_items_of_other_writers_add_no_upstream_and_affect_no_other)
{
  start();
  update("servers/j1", "no json");
  update("servers/j2", R"({"service": 5, "address": "10.0.0.9:80"})");
  update("servers/j3", makeEntry("log", "10.0.0.9:80", "asleep"));
  update("servers/j4", makeEntry("log", "nowhere"));
  update("servers/j5", makeEntry("unknown", "10.0.0.10:80"));
  update("elsewhere/x", "{}");
  BOOST_TEST(upstreams("log") == 2U);
  BOOST_TEST(mFaultyKeys.size() == 5U);
}

// Guards against a backend that is no longer listed because another writer claims its address.
BOOST_AUTO_TEST_CASE(
  a_reused_address_belongs_to_the_newer_backend_once_the_former_record_is_removed)
{
  start();
  update("servers/n", makeEntry("cert", "10.0.0.1:80", "ready", 5000));
  BOOST_TEST(upstreams("log") == 2U);
  BOOST_TEST(upstreams("cert") == 1U);
  BOOST_TEST(update("servers/x", std::nullopt) == 2U);
  BOOST_TEST(upstreams("log") == 1U);
  BOOST_TEST(upstreams("cert") == 2U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_expires_while_the_store_is_reachable_is_removed_at_once)
{
  start();
  update("servers/x", std::nullopt);
  BOOST_TEST(upstreams("log") == 1U);
}

// Pattern: everything loses power. The records of upstreams that don't come back expire after the
// processes have started, and until then no process can rule out that those upstreams own a flow.
BOOST_AUTO_TEST_CASE(a_record_that_expires_soon_after_the_start_is_removed_at_once)
{
  replaceAll({ { "op/config", 1, kConfig },
               { "servers/x", 2, makeEntry("log", "10.0.0.1:80") },
               { "servers/y", 3, makeEntry("log", "10.0.0.2:80") } });
  mNow += 700ms;
  update("servers/x", std::nullopt);
  BOOST_TEST(upstreams("log") == 1U);
}

BOOST_AUTO_TEST_CASE(a_record_that_was_missing_at_the_start_may_return)
{
  start();
  mTranslator = makeTranslator();
  mNow += 10s;
  replaceAll({ { "op/config", 1, kConfig }, { "servers/y", 3, makeEntry("log", "10.0.0.2:80") } });
  BOOST_TEST(upstreams("log") == 2U);
  updateWithoutChanges();
  BOOST_TEST(upstreams("log") == 1U);
}

BOOST_AUTO_TEST_CASE(entries_that_expired_during_an_outage_of_the_store_may_return)
{
  start();
  mNow += 6s;
  replaceAll({ { "op/config", 1, kConfig }, { "servers/z", 4, makeEntry("cert", "10.0.0.3:80") } });
  BOOST_TEST(upstreams("log") == 2U);
  mNow += 1s;
  update("servers/x", makeEntry("log", "10.0.0.1:80"));
  updateWithoutChanges();
  BOOST_TEST(upstreams("log") == 1U); // the entry that did not return has expired
}

BOOST_AUTO_TEST_CASE(an_evacuated_zone_is_out_of_service_until_the_evacuation_ends)
{
  start();
  update("op/evacuate/a", "{}");
  BOOST_TEST(!configuration().isZoneInService("a"));
  update("op/evacuate/a", std::nullopt);
  BOOST_TEST(configuration().isZoneInService("a"));
}

BOOST_AUTO_TEST_CASE(a_removed_route_removes_its_address)
{
  start();
  auto config = nlohmann::json::parse(kConfig);
  config["routes"].erase(1);
  update("op/config", config.dump());
  BOOST_TEST(configuration().mAddresses.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_reader_that_missed_a_configuration_does_not_restore_the_older_configuration)
{
  start();
  mStore.merge(mRevision + 5, { { "address/198.18.0.1:8080", mRevision + 5, std::nullopt } });
  mRevision += 50;
  updateWithoutChanges(); // the translator has received only the older configuration
  BOOST_TEST(configuration().mAddresses.size() == 1U);
}

BOOST_AUTO_TEST_CASE(items_older_than_the_stored_items_are_ignored)
{
  start();
  update("servers/x", makeEntry("log", "10.0.0.1:80", "draining"));
  mTranslator.applyChanges(mNow,
                           { { "servers/x", 3, makeEntry("log", "10.0.0.1:80") },
                             { "op/config", 0, R"({"routes": [], "services": []})" } });
  BOOST_TEST(mergeDocuments() == 0U);
  BOOST_TEST(configuration().mAddresses.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_malformed_configuration_leaves_the_previous_configuration_active)
{
  start();
  BOOST_TEST(update("op/config", R"({"routes": 5})") == 0U);
  BOOST_TEST(configuration().mAddresses.size() == 2U);
}

BOOST_AUTO_TEST_CASE(arbitrary_items_never_throw)
{
  const bool holds = rc::check("arbitrary items", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    platform::decodeResponse(text);
    platform::decodeBackendRecord(text);
    platform::decodeOperatorConfig(text);
    auto json = nlohmann::json::parse(makeEntry("log", "10.0.0.1:80"));
    const auto field = *rc::gen::element<std::string>("service",
                                                      "address",
                                                      "zone",
                                                      "version",
                                                      "capacity",
                                                      "state",
                                                      "sequence",
                                                      "born",
                                                      "warmupLeftMs");
    const auto value =
      *rc::gen::element<std::string>("null", "-1", "1e300", "\"\"", "true", "[1]", "{}");
    json[field] = nlohmann::json::parse(value);
    platform::decodeBackendRecord(json.dump());
  });
  BOOST_TEST(holds);
}

/// Configuration with one route, whose further members are aMembers.
std::string makeConfigWithRoute(std::uint64_t aVersion, const std::string& aMembers)
{
  return R"({"version": )" + std::to_string(aVersion) +
         R"(, "routes": [{"hostname": "198.18.0.1", "prefix": "/443/", "service": "log")" +
         aMembers + R"(}], "services": [{"name": "log"}, {"name": "cert"}]})";
}

BOOST_AUTO_TEST_CASE(a_route_that_describes_its_requests_gives_them_a_class)
{
  const flow::Endpoint address = *flow::Endpoint::parse("198.18.0.1:443");
  start();
  update("op/config",
         makeConfigWithRoute(
           8, R"(, "type": "unsafe", "priority": 1, "targetLatencyMs": 250, "timeoutMs": 2000)"));
  const auto* requests = configuration().requestClassOf(address);
  BOOST_REQUIRE(requests != nullptr);
  BOOST_TEST((*requests == config::RequestClass{ 1, 250, 2000, false }));
  update(
    "op/config",
    makeConfigWithRoute(
      9, R"(, "type": "download", "priority": 12, "targetLatencyMs": 800, "timeoutMs": 6000)"));
  BOOST_TEST((*configuration().requestClassOf(address) ==
              config::RequestClass{ config::kMaxRank, 800, 6000, true }));
  update("op/config", makeConfigWithRoute(10, ""));
  BOOST_TEST((configuration().requestClassOf(address) == nullptr));
  BOOST_TEST(mFaultyKeys.empty());
}

// Guards against a route that is not used because of a member that only describes its requests.
BOOST_AUTO_TEST_CASE(a_route_with_an_odd_description_is_used_without_a_class)
{
  const flow::Endpoint address = *flow::Endpoint::parse("198.18.0.1:443");
  start();
  std::uint64_t version = 7;
  for (const char* members :
       { R"(, "priority": 1)",
         R"(, "type": "odd", "priority": 1, "targetLatencyMs": 250, "timeoutMs": 2000)",
         R"(, "type": "safe", "priority": -1, "targetLatencyMs": 250, "timeoutMs": 2000)",
         R"(, "type": "safe", "priority": 1, "targetLatencyMs": 1e300, "timeoutMs": 2000)",
         R"(, "type": "safe", "priority": 1, "targetLatencyMs": "250", "timeoutMs": 2000)",
         R"(, "type": "safe", "priority": 1, "targetLatencyMs": 2500, "timeoutMs": 2000)",
         R"(, "type": [], "priority": {}, "targetLatencyMs": null, "timeoutMs": 0)" }) {
    mFaultyKeys.clear();
    update("op/config", makeConfigWithRoute(++version, members));
    updateWithoutChanges();
    BOOST_TEST(configuration().mAddresses.contains(address), members);
    BOOST_TEST((configuration().requestClassOf(address) == nullptr), members);
    BOOST_TEST(mFaultyKeys == std::vector<std::string>{ "op/config" },
               boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_SUITE_END()
