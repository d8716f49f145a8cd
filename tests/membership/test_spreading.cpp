#include "fakes/config_service/service.hpp"
#include "membership/node.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kNodes = 6;
constexpr base::Duration kActivationTimeout = 5s;
const std::string kZoneOutDocument = R"({"zones": [{"name": "zone-0", "state": "out"}]})";
const std::string kZoneInDocument = R"({"zones": [{"name": "zone-0", "state": "in"}]})";

/// Nodes that act as agents of one service in three zones, and a fake configuration service. Each
/// cluster has its own addresses. Nodes exist until the process exits, because their timers do.
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
    BOOST_REQUIRE(isActiveEverywhere(1));
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

  /// Replaces the service at the same endpoint by a new service with fewer documents and lower
  /// revisions.
  void replaceService()
  {
    mService.reset();
    mService = std::make_unique<fakes::ConfigService>(serviceEndpoint(), "config");
    publishService();
  }

  bool isActiveEverywhere(std::uint64_t aRevision, base::Duration aTimeout = kActivationTimeout)
  {
    return test::runUntil(aTimeout, [&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](test::Node* aNode) {
        return aNode->revision() >= aRevision && aNode->mayForward();
      });
    });
  }

  std::uint64_t serviceRequests() const
  {
    std::uint64_t serviceRequests = 0;
    for (const test::Node* node : mNodes) {
      serviceRequests += node->serviceRequests();
    }
    return serviceRequests;
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

BOOST_AUTO_TEST_CASE(a_change_becomes_active_everywhere_although_few_nodes_read_the_service)
{
  Cluster cluster(0);
  const std::uint64_t before = cluster.serviceRequests();
  const base::Time start = net::MainLoop::now();
  BOOST_TEST(cluster.isActiveEverywhere(cluster.service().publish("zones", kZoneOutDocument)));
  test::runFor(6s);
  // Three of the six nodes read the service, one per zone. Each sends a request for each change and
  // one every three seconds.
  const auto seconds = std::chrono::duration<double>(net::MainLoop::now() - start).count();
  BOOST_TEST(static_cast<double>(cluster.serviceRequests() - before) <= 3 * (seconds / 3 + 2));
  BOOST_TEST(!cluster.node(5).configuration()->isZoneInService("zone-0"));
}

BOOST_AUTO_TEST_CASE(a_new_process_pulls_every_document_from_a_peer_while_the_service_is_down)
{
  Cluster cluster(1);
  auto& newNode =
    cluster.start({ cluster.endpointOf(8), { { 0x7F22FFFEU }, 1 }, { cluster.endpointOf(2) }, 1 });
  BOOST_TEST(test::runUntil(kActivationTimeout,
                            [&] { return newNode.revision() == 1 && newNode.mayForward(); }));
}

BOOST_AUTO_TEST_CASE(a_service_with_lower_revisions_reverts_neither_running_nor_new_processes)
{
  Cluster cluster(2);
  BOOST_REQUIRE(cluster.isActiveEverywhere(cluster.service().publish("zones", kZoneOutDocument)));
  cluster.replaceService();
  auto& newNode = cluster.start(8, { cluster.endpointOf(1) });
  const bool isReady = test::runUntil(
    kActivationTimeout, [&] { return newNode.mayForward() || newNode.revision() > 1; });
  BOOST_TEST(isReady);
  BOOST_TEST(test::runUntil(kActivationTimeout, [&] { return newNode.mayForward(); }));
  BOOST_TEST(newNode.revision() == 2U);
  BOOST_TEST(!newNode.configuration()->isZoneInService("zone-0"));
  BOOST_TEST(cluster.node(0).revision() == 2U);
}

BOOST_AUTO_TEST_CASE(a_service_that_flaps_delays_a_change_by_seconds_at_most)
{
  Cluster cluster(3);
  cluster.service().setMode("down");
  const std::uint64_t revision = cluster.service().publish("zones", kZoneOutDocument);
  for (int i = 0; i < 4; ++i) {
    cluster.service().setMode(i % 2 == 0 ? "up" : "down");
    test::runFor(400ms);
  }
  cluster.service().setMode("up");
  BOOST_TEST(cluster.isActiveEverywhere(revision));
}

BOOST_AUTO_TEST_CASE(a_slow_service_delays_a_change_by_seconds_at_most)
{
  Cluster cluster(4);
  cluster.service().setMode("slow");
  BOOST_TEST(cluster.isActiveEverywhere(cluster.service().publish("zones", kZoneOutDocument)));
}

BOOST_AUTO_TEST_CASE(watches_without_a_response_are_replaced)
{
  Cluster cluster(5);
  cluster.service().setMode("silent");
  test::runFor(4s); // every watch is now pending at a service that never responds
  cluster.service().setMode("up");
  BOOST_TEST(cluster.isActiveEverywhere(cluster.service().publish("zones", kZoneOutDocument), 7s));
}

BOOST_AUTO_TEST_CASE(a_disconnected_process_catches_up_after_reconnecting)
{
  Cluster cluster(6);
  auto& isolated =
    cluster.start({ cluster.endpointOf(9), { { 0x7F22FFFEU }, 1 }, { cluster.endpointOf(2) }, 1 });
  BOOST_REQUIRE(cluster.isActiveEverywhere(1));
  isolated.setCutOff(true);
  const std::uint64_t revision = cluster.service().publish("zones", kZoneOutDocument);
  test::runFor(2s);
  BOOST_TEST(isolated.revision() == 1U);
  isolated.setCutOff(false);
  BOOST_TEST(cluster.isActiveEverywhere(revision));
}

BOOST_AUTO_TEST_CASE(concurrent_changes_by_two_operators_give_one_result_everywhere)
{
  Cluster cluster(7);
  std::uint64_t revision = 0;
  for (int i = 0; i < 20; ++i) {
    cluster.service().publish("zones", kZoneOutDocument);
    revision = cluster.service().publish("zones", kZoneInDocument);
    test::runFor(20ms);
  }
  BOOST_TEST(cluster.isActiveEverywhere(revision));
  for (std::size_t i = 0; i < kNodes; ++i) {
    BOOST_TEST(cluster.node(i).configuration()->isZoneInService("zone-0"));
  }
}

BOOST_AUTO_TEST_CASE(a_new_process_receives_the_last_accepted_version_of_a_rejected_document)
{
  Cluster cluster(8);
  cluster.service().publish("zones", kZoneOutDocument);
  BOOST_REQUIRE(
    cluster.isActiveEverywhere(cluster.service().publish("zones", R"({"zones": "?"})")));
  auto& newNode = cluster.start(8, {});
  BOOST_TEST(test::runUntil(kActivationTimeout, [&] {
    return newNode.mayForward() && !newNode.configuration()->isZoneInService("zone-0");
  }));
}

BOOST_AUTO_TEST_SUITE_END()
