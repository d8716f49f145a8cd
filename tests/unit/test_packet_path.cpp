#include "balancer/packet_path.hpp"
#include "net/main_loop.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/packets.hpp"
#include "wire/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace cornelcross;
using namespace cornelcross::test;

BOOST_AUTO_TEST_SUITE(packet_path)

// Regression test: a Forward message was once sent without its packet.
BOOST_AUTO_TEST_CASE(sends_the_whole_packet_to_the_first_candidate)
{
  const flow::Endpoint self = *flow::Endpoint::parse("127.62.0.1:7000");
  const flow::Endpoint agent = *flow::Endpoint::parse("127.62.0.2:7000");
  auto configuration = makeConfiguration(1);
  configuration.mServices.at("logbook").mUpstreams[0].mAgent = agent;

  net::MainLoop loop;
  net::UdpSocket sending(self);
  net::UdpSocket receiving(agent);
  balancer::PacketRouter router(self, 16);
  router.apply(share(configuration));
  balancer::PacketPath path(router, sending, [](balancer::DropReason) {});

  flow::Bytes received;
  receiving.onDatagram([&](std::span<const std::byte> aBytes, flow::Endpoint) {
    received.assign(aBytes.begin(), aBytes.end());
    loop.quit();
  });
  // The timer stays in the main context when the loop is gone; a later test may dispatch it.
  const auto isOver = std::make_shared<bool>(false);
  loop.after(std::chrono::seconds(5), [&loop, isOver] {
    if (!*isOver) {
      loop.quit();
    }
  });

  const auto packet = makePacket(
    { *flow::Endpoint::parse("10.1.1.1:40000"), kServiceAddress, flow::kAck, 1, 2, 100 });
  path.handle(net::MainLoop::now(), packet);
  sending.flush();
  loop.run();
  *isOver = true;

  const auto decoded = wire::decode(received);
  BOOST_REQUIRE(std::holds_alternative<wire::Frame>(decoded));
  const auto& forward = std::get<wire::Forward>(std::get<wire::Frame>(decoded).mMessage);
  BOOST_TEST((forward.mPacket == packet));
}

BOOST_AUTO_TEST_SUITE_END()
