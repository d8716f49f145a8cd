#include "fakes/common/lwip_stack.hpp"

#include "flow/byte_order.hpp"

#include <arpa/inet.h>
#include <future>
#include <lwip/pbuf.h>
#include <lwip/tcpip.h>
#include <lwip/timeouts.h>
#include <netinet/in.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cornelcross::fakes {

namespace {

constexpr std::size_t kBufferSize = 65536;     // bytes
constexpr int kSocketBuffer = 8 * 1024 * 1024; // bytes
constexpr std::size_t kSequenceOffset = 4;     // bytes into the TCP header
constexpr std::size_t kAcknowledgementOffset = 8;
constexpr std::uint16_t kMtu = 1500; // bytes

sockaddr_in toSocketAddress(flow::Endpoint aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  address.sin_addr.s_addr = htonl(aEndpoint.mAddress.mValue);
  return address;
}

void shiftField(flow::Bytes& aBytes,
                const flow::TcpPacket& aPacket,
                std::size_t aOffset,
                std::uint32_t aShift)
{
  const std::span<std::byte> bytes(aBytes);
  const std::size_t at = aPacket.mIpHeaderLength + aOffset;
  flow::write32(bytes, at, flow::read32(bytes, at) + aShift);
  flow::updateChecksums(bytes, aPacket.mIpHeaderLength);
}

void runTask(void* aTask)
{
  const std::unique_ptr<std::function<void()>> task(static_cast<std::function<void()>*>(aTask));
  (*task)();
}

} // namespace

LwipStack::LwipStack(flow::Endpoint aListen, flow::Endpoint aPeer)
  : mSocket(socket(AF_INET, SOCK_DGRAM, 0)), mPeer(aPeer), mSecret(std::random_device{}())
{
  setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &kSocketBuffer, sizeof(kSocketBuffer));
  setsockopt(mSocket, SOL_SOCKET, SO_SNDBUF, &kSocketBuffer, sizeof(kSocketBuffer));
  const sockaddr_in address = toSocketAddress(aListen);
  if (bind(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    throw std::runtime_error("cannot bind " + aListen.toString());
  }
  tcpip_init(nullptr, nullptr);
}

void LwipStack::addAddress(flow::Ipv4Address aAddress)
{
  mInterfaces.push_back(std::make_unique<netif>());
  netif* interface = mInterfaces.back().get();
  run([&] {
    const ip4_addr_t address{ htonl(aAddress.mValue) };
    const ip4_addr_t mask{ 0xFFFFFFFFU };
    const ip4_addr_t gateway{ 0 };
    netif_add(interface, &address, &mask, &gateway, this, &LwipStack::initialize, tcpip_input);
    netif_set_up(interface);
    netif_set_link_up(interface);
    netif_set_default(interface);
  });
}

void LwipStack::start()
{
  std::thread([this] { receive(); }).detach();
}

void LwipStack::run(const std::function<void()>& aTask)
{
  std::promise<void> done;
  auto* task = new std::function<void()>([&] {
    aTask();
    done.set_value();
  });
  if (tcpip_callback(&runTask, task) != ERR_OK) {
    delete task;
    throw std::runtime_error("the TCP stack takes no tasks");
  }
  done.get_future().wait();
}

void LwipStack::after(unsigned aMilliseconds, std::function<void()> aTask)
{
  sys_timeout(aMilliseconds, &runTask, new std::function<void()>(std::move(aTask)));
}

err_t LwipStack::initialize(netif* aNetif)
{
  aNetif->name[0] = 'u';
  aNetif->name[1] = 'd';
  aNetif->mtu = kMtu;
  aNetif->output = &LwipStack::output;
  return ERR_OK;
}

err_t LwipStack::output(netif* aNetif, pbuf* aBuffer, const ip4_addr_t*)
{
  static_cast<LwipStack*>(aNetif->state)->send(aBuffer);
  return ERR_OK;
}

std::uint32_t LwipStack::shiftOf(const flow::FlowKey& aFlow) const
{
  return static_cast<std::uint32_t>((aFlow.hash() ^ mSecret) * 0x9E3779B97F4A7C15ULL >> 32U);
}

void LwipStack::send(pbuf* aBuffer)
{
  flow::Bytes bytes(aBuffer->tot_len);
  pbuf_copy_partial(aBuffer, bytes.data(), aBuffer->tot_len, 0);
  if (const auto packet = flow::TcpPacket::parse(bytes)) {
    if (packet->isInitialSyn()) {
      appendSynData(bytes, *packet);
    }
    shiftField(bytes, *packet, kSequenceOffset, shiftOf(packet->keyFromCaller()));
  }
  const sockaddr_in to = toSocketAddress(mPeer);
  sendto(
    mSocket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void LwipStack::appendSynData(flow::Bytes& aBytes, const flow::TcpPacket& aPacket)
{
  const std::lock_guard lock(mSynDataLock);
  if (!mNextSynData.empty()) {
    mSynData[aPacket.keyFromCaller()] = std::move(mNextSynData);
    mNextSynData.clear();
  }
  const auto data = mSynData.find(aPacket.keyFromCaller());
  if (data == mSynData.end()) {
    return;
  }
  const auto bytes = std::as_bytes(std::span(data->second));
  aBytes.insert(aBytes.end(), bytes.begin(), bytes.end());
  flow::write16(aBytes, 2, static_cast<std::uint16_t>(aBytes.size()));
}

std::uint32_t LwipStack::synDataLength(const flow::FlowKey& aFlow)
{
  const std::lock_guard lock(mSynDataLock);
  const auto data = mSynData.find(aFlow);
  return data == mSynData.end() ? 0 : static_cast<std::uint32_t>(data->second.size());
}

void LwipStack::observe(const flow::TcpPacket& aPacket, const flow::Bytes& aBytes) const
{
  const std::size_t header = aPacket.mIpHeaderLength + aPacket.mTcpHeaderLength;
  const auto* payload = reinterpret_cast<const char*>(aBytes.data()) + header;
  const std::string data(payload, aPacket.mPayloadLength);
  run([&] { mObserver(aPacket, data); });
}

void LwipStack::receive()
{
  flow::Bytes buffer(kBufferSize);
  for (;;) {
    const ssize_t size = recv(mSocket, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      continue;
    }
    flow::Bytes bytes(buffer.begin(), buffer.begin() + size);
    const auto packet = flow::TcpPacket::parse(bytes);
    if (packet && mObserver) {
      observe(*packet, bytes);
    }
    if (packet && packet->has(flow::kAck)) {
      const flow::FlowKey key = packet->keyFromUpstream();
      // A refusal acknowledges the data in the SYN too (RFC 9293, section 3.5.2), of which lwIP
      // doesn't know.
      const std::uint32_t refused = packet->has(flow::kRst) ? synDataLength(key) : 0;
      shiftField(bytes, *packet, kAcknowledgementOffset, 0U - shiftOf(key) - refused);
    }
    pbuf* copy = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(bytes.size()), PBUF_RAM);
    if (copy == nullptr) {
      continue;
    }
    pbuf_take(copy, bytes.data(), static_cast<u16_t>(bytes.size()));
    if (tcpip_input(copy, mInterfaces.front().get()) != ERR_OK) {
      pbuf_free(copy);
    }
  }
}

} // namespace cornelcross::fakes
