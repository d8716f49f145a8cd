#include "net/main_loop.hpp"
#include "net/udp_socket.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

constexpr int kBatch = 64;

/// Socket that receives, and one that sends to it.
struct Sockets
{
  Sockets()
  {
    mReceiver.onDatagram([this](std::span<const std::byte>, flow::Endpoint) {
      ++mReceived;
      mDrainedWhileReceiving = mReceiver.drainedAt();
    });
  }

  void send(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mSender.enqueue(mAddress, flow::Bytes(1));
      mSender.flush();
    }
  }

  flow::Endpoint mAddress = *flow::Endpoint::parse("127.0.77.1:7000");
  net::UdpSocket mReceiver{ mAddress };
  net::UdpSocket mSender{ *flow::Endpoint::parse("127.0.77.2:7000") };
  int mReceived = 0;
  base::Time mDrainedWhileReceiving;
};

} // namespace

// Guards against packets that count as sent after they had waited in the socket.
BOOST_FIXTURE_TEST_SUITE(udp_socket, Sockets)

BOOST_AUTO_TEST_CASE(an_idle_socket_is_drained_now)
{
  const base::Time before = net::MainLoop::now();
  BOOST_TEST((mReceiver.drainedAt() >= before));
}

BOOST_AUTO_TEST_CASE(a_socket_with_waiting_datagrams_was_drained_before_they_arrived)
{
  const base::Time drainedAt = mReceiver.drainedAt();
  send(kBatch + 1);
  BOOST_TEST((mReceiver.drainedAt() == drainedAt));
  g_main_context_iteration(nullptr, FALSE);
  BOOST_TEST(mReceived == kBatch);
  BOOST_TEST((mReceiver.drainedAt() == drainedAt));
  const base::Time before = net::MainLoop::now();
  g_main_context_iteration(nullptr, FALSE);
  BOOST_TEST(mReceived == kBatch + 1);
  BOOST_TEST((mReceiver.drainedAt() >= before));
}

BOOST_AUTO_TEST_CASE(a_datagram_is_handled_before_the_socket_counts_as_drained)
{
  const base::Time drainedAt = mReceiver.drainedAt();
  send(1);
  g_main_context_iteration(nullptr, FALSE);
  BOOST_TEST((mDrainedWhileReceiving == drainedAt));
}

BOOST_AUTO_TEST_SUITE_END()
