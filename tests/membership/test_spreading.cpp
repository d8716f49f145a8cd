#include "fakes/config_service/service.hpp"
#include "membership/node.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kNodes = 6;
constexpr base::Duration kInForce = 5s;
const std::string kOut = R"({"zones": [{"name": "zone-0", "state": "out"}]})";
const std::string kIn = R"({"zones": [{"name": "zone-0", "state": "in"}]})";

/// The nodes as agents of one service in three zones, and the fake configuration service, on
/// addresses of their own. Nodes stay until the process ends, as their timers do.
class Cluster
{
public:
  explicit Cluster(std::uint32_t aNumber)
    : mNet(0x7F22C800U + (aNumber << 4U))
    , mService(std::make_unique<fakes::ConfigService>(serviceEndpoint(), "config"))
  {
    publishService();
    for (std::uint32_t i = 0; i < kNodes; ++i) {
      start(i, {});
    }
    BOOST_REQUIRE(everywhere(1));
  }

  flow::Endpoint serviceEndpoint() const { return { { mNet + 15 }, 8000 }; }
  flow::Endpoint endpointOf(std::uint32_t aIndex) const { return { { mNet + 1 + aIndex }, 7000 }; }
  fakes::ConfigService& service() { return *mService; }
  test::Node& node(std::size_t aIndex) { return *mNodes[aIndex]; }

  test::Node& start(std::uint32_t aIndex, const std::vector<flow::Endpoint>& aSeeds)
  {
    return start({ endpointOf(aIndex), serviceEndpoint(), aSeeds, 1 });
  }

  test::Node& start(const test::NodeSettings& aSettings)
  {
    static std::vector<std::unique_ptr<test::Node>> nodes;
    nodes.push_back(std::make_unique<test::Node>(aSettings));
    mNodes.push_back(nodes.back().get());
    return *mNodes.back();
  }

  /// Ends the service and starts another one at its endpoint that has seen less.
  void replaceService()
  {
    mService.reset();
    mService = std::make_unique<fakes::ConfigService>(serviceEndpoint(), "config");
    publishService();
  }

  bool everywhere(std::uint64_t aRevision, base::Duration aTimeout = kInForce)
  {
    return test::runUntil(aTimeout, [&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](test::Node* aNode) {
        return aNode->revision() >= aRevision && aNode->mayForward();
      });
    });
  }

  std::uint64_t calls() const
  {
    std::uint64_t calls = 0;
    for (const test::Node* node : mNodes) {
      calls += node->serviceCalls();
    }
    return calls;
  }

private:
  void publishService()
  {
    nlohmann::json upstreams = nlohmann::json::array();
    for (std::uint32_t i = 0; i < kNodes; ++i) {
      upstreams.push_back(
        { { "name", "u" + std::to_string(i) },
          { "agent", endpointOf(i).toString() },
          { "address", flow::Endpoint{ endpointOf(i).mAddress, 7001 }.toString() },
          { "zone", "zone-" + std::to_string(i % 3) },
          { "slots", 1 },
          { "state", "serving" } });
    }
    const nlohmann::json document = { { "address", "198.51.100.1:80" },
                                      { "upstreams", upstreams } };
    mService->publish("service/x", document.dump());
  }

  std::uint32_t mNet;
  std::unique_ptr<fakes::ConfigService> mService;
  std::vector<test::Node*> mNodes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(spreading)

BOOST_AUTO_TEST_CASE(a_change_is_in_force_everywhere_although_few_read_the_service)
{
  Cluster cluster(0);
  const std::uint64_t before = cluster.calls();
  const base::Time start = net::MainLoop::now();
  BOOST_TEST(cluster.everywhere(cluster.service().publish("zones", kOut)));
  test::runFor(6s);
  // Three readers of six make a call for each change and every three seconds.
  const auto seconds = std::chrono::duration<double>(net::MainLoop::now() - start).count();
  BOOST_TEST(static_cast<double>(cluster.calls() - before) <= 3 * (seconds / 3 + 2));
  BOOST_TEST(!cluster.node(5).configuration()->isZoneInService("zone-0"));
}

BOOST_AUTO_TEST_CASE(a_fresh_process_learns_everything_from_a_peer_while_the_service_is_down)
{
  Cluster cluster(1);
  auto& fresh =
    cluster.start({ cluster.endpointOf(8), { { 0x7F22FFFEU }, 1 }, { cluster.endpointOf(2) }, 1 });
  BOOST_TEST(test::runUntil(kInForce, [&] { return fresh.revision() == 1 && fresh.mayForward(); }));
}

BOOST_AUTO_TEST_CASE(a_service_that_went_back_reverts_nobody_and_misleads_no_fresh_process)
{
  Cluster cluster(2);
  BOOST_REQUIRE(cluster.everywhere(cluster.service().publish("zones", kOut)));
  cluster.replaceService();
  auto& fresh = cluster.start(8, { cluster.endpointOf(1) });
  const bool isReady =
    test::runUntil(kInForce, [&] { return fresh.mayForward() || fresh.revision() > 1; });
  BOOST_TEST(isReady);
  BOOST_TEST(test::runUntil(kInForce, [&] { return fresh.mayForward(); }));
  BOOST_TEST(fresh.revision() == 2U);
  BOOST_TEST(!fresh.configuration()->isZoneInService("zone-0"));
  BOOST_TEST(cluster.node(0).revision() == 2U);
}

BOOST_AUTO_TEST_CASE(a_service_that_flaps_delays_a_change_by_seconds_at_most)
{
  Cluster cluster(3);
  cluster.service().setMode("down");
  const std::uint64_t revision = cluster.service().publish("zones", kOut);
  for (int i = 0; i < 4; ++i) {
    cluster.service().setMode(i % 2 == 0 ? "up" : "down");
    test::runFor(400ms);
  }
  cluster.service().setMode("up");
  BOOST_TEST(cluster.everywhere(revision));
}

BOOST_AUTO_TEST_CASE(a_slow_service_delays_a_change_by_seconds_at_most)
{
  Cluster cluster(4);
  cluster.service().setMode("slow");
  BOOST_TEST(cluster.everywhere(cluster.service().publish("zones", kOut)));
}

BOOST_AUTO_TEST_CASE(watches_that_went_silent_are_replaced)
{
  Cluster cluster(5);
  cluster.service().setMode("silent");
  test::runFor(4s); // every watch is now held by a service that will never answer
  cluster.service().setMode("up");
  BOOST_TEST(cluster.everywhere(cluster.service().publish("zones", kOut), 7s));
}

BOOST_AUTO_TEST_CASE(a_process_that_was_cut_off_catches_up)
{
  Cluster cluster(6);
  auto& lonely =
    cluster.start({ cluster.endpointOf(9), { { 0x7F22FFFEU }, 1 }, { cluster.endpointOf(2) }, 1 });
  BOOST_REQUIRE(cluster.everywhere(1));
  lonely.setCutOff(true);
  const std::uint64_t revision = cluster.service().publish("zones", kOut);
  test::runFor(2s);
  BOOST_TEST(lonely.revision() == 1U);
  lonely.setCutOff(false);
  BOOST_TEST(cluster.everywhere(revision));
}

BOOST_AUTO_TEST_CASE(two_operators_who_race_leave_one_result_everywhere)
{
  Cluster cluster(7);
  std::uint64_t revision = 0;
  for (int i = 0; i < 20; ++i) {
    cluster.service().publish("zones", kOut);
    revision = cluster.service().publish("zones", kIn);
    test::runFor(20ms);
  }
  BOOST_TEST(cluster.everywhere(revision));
  for (std::size_t i = 0; i < kNodes; ++i) {
    BOOST_TEST(cluster.node(i).configuration()->isZoneInService("zone-0"));
  }
}

BOOST_AUTO_TEST_CASE(a_fresh_process_gets_the_accepted_version_of_a_rejected_document)
{
  Cluster cluster(8);
  cluster.service().publish("zones", kOut);
  BOOST_REQUIRE(cluster.everywhere(cluster.service().publish("zones", R"({"zones": "?"})")));
  auto& fresh = cluster.start(8, {});
  BOOST_TEST(test::runUntil(kInForce, [&] {
    return fresh.mayForward() && !fresh.configuration()->isZoneInService("zone-0");
  }));
}

BOOST_AUTO_TEST_SUITE_END()
