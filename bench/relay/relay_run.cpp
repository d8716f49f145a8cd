#include "bench/relay/relay_run.hpp"

#include "balancer/packet_path.hpp"
#include "bench/common/sample_packet.hpp"
#include "net/main_loop.hpp"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <ctime>
#include <netinet/in.h>
#include <pthread.h>
#include <sched.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cornelcross::bench {

namespace {

constexpr flow::Endpoint kRelay{ { 0x7F3D0001 }, 7000 }; // 127.61.0.1
constexpr std::size_t kFlows = 4096;
constexpr std::size_t kPayload = 200; // bytes
constexpr std::uint32_t kUpstreams = 7;
constexpr std::size_t kCacheCapacity = 131072;
constexpr std::size_t kSendBatch = 64;
constexpr std::size_t kRelayProcessor = 1;
constexpr std::size_t kGeneratorProcessor = 4;

/// Keeps the calling thread on one processor, so that rounds differ less by where threads run.
void pinThread(std::size_t aProcessor)
{
  cpu_set_t processors;
  CPU_ZERO(&processors);
  CPU_SET(aProcessor % std::thread::hardware_concurrency(), &processors);
  pthread_setaffinity_np(pthread_self(), sizeof(processors), &processors);
}

/// Sends packets of many flows to the relay as fast as the socket takes them.
class Generator
{
public:
  Generator() : mSocket(socket(AF_INET, SOCK_DGRAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kRelay.mPort);
    address.sin_addr.s_addr = htonl(kRelay.mAddress.mValue);
    if (connect(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      throw std::runtime_error("cannot connect the generator");
    }
    for (std::uint32_t i = 0; i < kFlows; ++i) {
      mPackets.push_back(samplePacket(i, kPayload, flow::kAck));
    }
    mThread = std::thread([this] { run(); });
  }

  ~Generator()
  {
    mIsStopped = true;
    mThread.join();
    close(mSocket);
  }

  Generator(const Generator&) = delete;
  Generator& operator=(const Generator&) = delete;

private:
  void run()
  {
    pinThread(kGeneratorProcessor);
    std::size_t next = 0;
    while (!mIsStopped) {
      std::array<iovec, kSendBatch> vectors{};
      std::array<mmsghdr, kSendBatch> messages{};
      for (std::size_t i = 0; i < kSendBatch; ++i) {
        auto& packet = mPackets[next++ % kFlows];
        vectors[i] = { packet.data(), packet.size() };
        messages[i].msg_hdr.msg_iov = &vectors[i];
        messages[i].msg_hdr.msg_iovlen = 1;
      }
      sendmmsg(mSocket, messages.data(), kSendBatch, 0);
    }
  }

  int mSocket;
  std::vector<flow::Bytes> mPackets;
  std::atomic<bool> mIsStopped = false;
  std::thread mThread;
};

/// Sockets of the agents that are never read, so that both relays pay the same for sending.
std::vector<std::unique_ptr<net::UdpSocket>> makeSinks()
{
  std::vector<std::unique_ptr<net::UdpSocket>> sinks;
  for (const auto& upstream : sampleConfiguration(kUpstreams)->mServices.at("bench").mUpstreams) {
    sinks.push_back(std::make_unique<net::UdpSocket>(upstream.mAgent));
  }
  return sinks;
}

double threadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

RelayCost run(double aSeconds, net::UdpSocket& aSocket, const net::UdpSocket::Receiver& aReceiver)
{
  pinThread(kRelayProcessor);
  const auto sinks = makeSinks();
  net::MainLoop loop;
  RelayCost cost;
  aSocket.onDatagram([&](std::span<const std::byte> aBytes, flow::Endpoint aFrom) {
    ++cost.mPackets;
    aReceiver(aBytes, aFrom);
  });
  const Generator generator;
  loop.after(std::chrono::milliseconds(static_cast<int>(aSeconds * 1000)), [&] { loop.quit(); });
  const double before = threadCpuSeconds();
  loop.run();
  cost.mCpuSeconds = threadCpuSeconds() - before;
  return cost;
}

} // namespace

RelayCost runBalancer(double aSeconds)
{
  net::UdpSocket socket(kRelay);
  balancer::PacketRouter router(kRelay, kCacheCapacity);
  router.apply(sampleConfiguration(kUpstreams));
  balancer::PacketPath path(router, socket, [](balancer::DropReason) {});
  return run(aSeconds, socket, [&](std::span<const std::byte> aPacket, flow::Endpoint) {
    path.handle(net::MainLoop::now(), aPacket);
  });
}

RelayCost runBareRelay(double aSeconds)
{
  net::UdpSocket socket(kRelay);
  const auto configuration = sampleConfiguration(kUpstreams);
  const auto& upstreams = configuration->mServices.at("bench").mUpstreams;
  std::size_t next = 0;
  return run(aSeconds, socket, [&](std::span<const std::byte> aPacket, flow::Endpoint) {
    const flow::Endpoint to = upstreams[next++ % upstreams.size()].mAgent;
    socket.enqueue(to, flow::Bytes(aPacket.begin(), aPacket.end()));
  });
}

} // namespace cornelcross::bench
