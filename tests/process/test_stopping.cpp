#include "flow/tcp_packet.hpp"
#include "net/udp_socket.hpp"
#include "process/support/child.hpp"
#include "unit/support/packets.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>

using namespace cornelcross;

namespace {

const std::string kAdmin = "127.31.2.2:9000";
const flow::Endpoint kBalancer = *flow::Endpoint::parse("127.31.2.2:7000");
const flow::Endpoint kAgent = *flow::Endpoint::parse("127.31.2.3:7000");
const flow::Endpoint kFabric = *flow::Endpoint::parse("127.31.2.4:7000");

constexpr const char* kDocuments = R"({"service/s": {"address": "198.51.100.1:80", "upstreams": [
  {"name": "u", "agent": "127.31.2.3:7000", "address": "127.31.2.3:7001", "zone": "a", "slots": 1,
   "state": "serving"}]}})";

/// A configuration service and a balancer with one service, ready to forward.
class Deployment
{
public:
  explicit Deployment(const std::string& aDrainSeconds)
    : mDocuments(writeDocuments())
    , mService("tests/fake-config-service",
               { "--listen=127.31.2.1:8000", "--documents=" + mDocuments })
    , mBalancer("cornelcross-balancer",
                { "--listen=127.31.2.2:7000",
                  "--admin=" + kAdmin,
                  "--config_service=127.31.2.1:8000",
                  "--drain_seconds=" + aDrainSeconds })
  {
    BOOST_REQUIRE(test::httpGetUntil(kAdmin, "/healthz", "200 ok\n") == "200 ok\n");
  }

  ~Deployment() { std::remove(mDocuments.c_str()); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  test::Child& balancer() { return mBalancer; }

private:
  static std::string writeDocuments()
  {
    std::string name = "cornelcross-test-" + std::to_string(getpid()) + ".json";
    std::ofstream(name) << kDocuments;
    return name;
  }

  std::string mDocuments;
  test::Child mService;
  test::Child mBalancer;
};

/// Sends a SYN through the balancer; true if it reaches the agent within two seconds.
bool forwards()
{
  net::UdpSocket agent(kAgent);
  net::UdpSocket fabric(kFabric);
  bool hasArrived = false;
  agent.onDatagram([&](std::span<const std::byte>, flow::Endpoint) { hasArrived = true; });
  fabric.queue(kBalancer,
               test::makePacket({ *flow::Endpoint::parse("10.0.0.1:5000"),
                                  *flow::Endpoint::parse("198.51.100.1:80"),
                                  flow::kSyn }));
  fabric.flush();
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (!hasArrived && std::chrono::steady_clock::now() < deadline) {
    g_main_context_iteration(nullptr, FALSE);
  }
  return hasArrived;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stopping)

BOOST_AUTO_TEST_CASE(a_balancer_goes_on_forwarding_until_a_second_signal)
{
  Deployment deployment("60");
  BOOST_TEST(forwards());
  deployment.balancer().signal(SIGTERM);
  BOOST_TEST(test::httpGetUntil(kAdmin, "/healthz", "503 stopping\n") == "503 stopping\n");
  BOOST_TEST(forwards());
  deployment.balancer().signal(SIGTERM);
  BOOST_TEST(deployment.balancer().hasEndedWithin(std::chrono::seconds(2)));
  BOOST_TEST(deployment.balancer().exitCode() == 0);
}

BOOST_AUTO_TEST_CASE(a_balancer_ends_after_its_drain_time)
{
  Deployment deployment("1");
  deployment.balancer().signal(SIGTERM);
  BOOST_TEST(!deployment.balancer().hasEndedWithin(std::chrono::milliseconds(500)));
  BOOST_TEST(deployment.balancer().hasEndedWithin(std::chrono::seconds(5)));
  BOOST_TEST(deployment.balancer().exitCode() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
