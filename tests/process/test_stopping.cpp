#include "flow/tcp_packet.hpp"
#include "net/udp_socket.hpp"
#include "process/support/deployment.hpp"
#include "unit/support/packets.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace cornelcross;
using test::Deployment;

namespace {

constexpr int kNetworkOctet = 2;
constexpr int kDataPort = 7000;

/// Sends a SYN from the fabric to the balancer. True if the agent's address receives a datagram
/// within two seconds.
bool forwardsSyn(const Deployment& aDeployment)
{
  net::UdpSocket agent(flow::Endpoint::parse(aDeployment.endpoint(3, kDataPort)).value());
  net::UdpSocket fabric(flow::Endpoint::parse(aDeployment.endpoint(4, kDataPort)).value());
  bool hasArrived = false;
  agent.onDatagram([&](std::span<const std::byte>, flow::Endpoint) { hasArrived = true; });
  fabric.enqueue(flow::Endpoint::parse(aDeployment.endpoint(2, kDataPort)).value(),
                 test::makePacket({ flow::Endpoint::parse("10.0.0.1:5000").value(),
                                    flow::Endpoint::parse("198.51.100.1:80").value(),
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

BOOST_AUTO_TEST_CASE(a_balancer_forwards_after_sigterm_until_a_second_sigterm)
{
  Deployment deployment(kNetworkOctet, 60, false);
  BOOST_TEST(forwardsSyn(deployment));
  deployment.balancer().signal(SIGTERM);
  const std::string stoppingResponse = "503 stopping\n";
  BOOST_TEST(test::httpGetUntil(deployment.balancerAdmin(), "/healthz", stoppingResponse) ==
             stoppingResponse);
  BOOST_TEST(forwardsSyn(deployment));
  deployment.balancer().signal(SIGTERM);
  BOOST_TEST(deployment.balancer().hasEndedWithin(std::chrono::seconds(2)));
  BOOST_TEST(deployment.balancer().exitCode() == 0);
}

BOOST_AUTO_TEST_CASE(a_balancer_exits_after_its_drain_time)
{
  Deployment deployment(kNetworkOctet, 1, false);
  deployment.balancer().signal(SIGTERM);
  BOOST_TEST(!deployment.balancer().hasEndedWithin(std::chrono::milliseconds(500)));
  BOOST_TEST(deployment.balancer().hasEndedWithin(std::chrono::seconds(5)));
  BOOST_TEST(deployment.balancer().exitCode() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
