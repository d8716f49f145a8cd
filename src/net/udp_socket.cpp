#include "net/udp_socket.hpp"

#include "net/main_loop.hpp"

#include <array>
#include <stdexcept>
#include <sys/socket.h>

namespace cornelcross::net {

namespace {

constexpr std::size_t kMaxBatchDatagrams = 64;   // per receive call
constexpr std::size_t kMaxQueuedDatagrams = 256; // a full queue is flushed early
constexpr std::size_t kMaxCachedAddresses = 65536;
constexpr gint kSocketBufferBytes = 4 * 1024 * 1024;

GSocketAddress* makeAddress(flow::Endpoint aEndpoint)
{
  return g_inet_socket_address_new_from_string(aEndpoint.mAddress.toString().c_str(),
                                               aEndpoint.mPort);
}

flow::Endpoint toEndpoint(GSocketAddress* aAddress)
{
  auto* inet = G_INET_SOCKET_ADDRESS(aAddress);
  const guint8* octets = g_inet_address_to_bytes(g_inet_socket_address_get_address(inet));
  const std::uint32_t value = (std::uint32_t{ octets[0] } << 24U) |
                              (std::uint32_t{ octets[1] } << 16U) |
                              (std::uint32_t{ octets[2] } << 8U) | octets[3];
  return { { value }, g_inet_socket_address_get_port(inet) };
}

[[noreturn]] void throwError(const std::string& aWhat, GError* aError)
{
  const std::string message = aWhat + ": " + aError->message;
  g_error_free(aError);
  throw std::runtime_error(message);
}

} // namespace

UdpSocket::UdpSocket(flow::Endpoint aLocal, std::size_t aMaxDatagramBytes)
  : mMaxDatagramBytes(aMaxDatagramBytes)
  , mBuffers(kMaxBatchDatagrams, flow::Bytes(aMaxDatagramBytes))
{
  GError* error = nullptr;
  mSocket =
    g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &error);
  if (mSocket == nullptr) {
    throwError("cannot create a UDP socket", error);
  }
  g_socket_set_blocking(mSocket, FALSE);
  g_socket_set_option(mSocket, SOL_SOCKET, SO_RCVBUF, kSocketBufferBytes, nullptr);
  g_socket_set_option(mSocket, SOL_SOCKET, SO_SNDBUF, kSocketBufferBytes, nullptr);
  GSocketAddress* address = makeAddress(aLocal);
  const bool isBound = g_socket_bind(mSocket, address, FALSE, &error) == TRUE;
  g_object_unref(address);
  if (!isBound) {
    g_object_unref(mSocket);
    throwError("cannot bind " + aLocal.toString(), error);
  }
}

UdpSocket::~UdpSocket()
{
  if (mSource != nullptr) {
    g_source_destroy(mSource);
    g_source_unref(mSource);
  }
  for (const auto& [endpoint, address] : mAddressCache) {
    g_object_unref(address);
  }
  g_object_unref(mSocket);
}

void UdpSocket::onDatagram(Receiver aReceiver)
{
  mReceiver = std::move(aReceiver);
  mSource = g_socket_create_source(mSocket, G_IO_IN, nullptr);
  g_source_set_callback(mSource, G_SOURCE_FUNC(&UdpSocket::dispatch), this, nullptr);
  g_source_attach(mSource, nullptr);
}

gboolean UdpSocket::dispatch(GSocket*, GIOCondition, gpointer aSelf)
{
  static_cast<UdpSocket*>(aSelf)->receiveBatch();
  return G_SOURCE_CONTINUE;
}

void UdpSocket::receiveBatch()
{
  std::array<GInputVector, kMaxBatchDatagrams> vectors{};
  std::array<GInputMessage, kMaxBatchDatagrams> messages{};
  std::array<GSocketAddress*, kMaxBatchDatagrams> senders{};
  for (std::size_t i = 0; i < kMaxBatchDatagrams; ++i) {
    vectors[i] = { mBuffers[i].data(), mBuffers[i].size() };
    messages[i] = { &senders[i], &vectors[i], 1, 0, 0, nullptr, nullptr };
  }
  const base::Time startedAt = MainLoop::now();
  mIsReceiving = true;
  const gint count =
    g_socket_receive_messages(mSocket, messages.data(), kMaxBatchDatagrams, 0, nullptr, nullptr);
  for (gint i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const auto bytes =
      std::span<const std::byte>(mBuffers[index]).first(messages[index].bytes_received);
    ++mCounts.mReceivedDatagrams;
    mCounts.mReceivedBytes += bytes.size();
    mReceiver(bytes, toEndpoint(senders[index]));
    g_object_unref(senders[index]);
  }
  mIsReceiving = false;
  const bool isDrained = count >= 0 && count < static_cast<gint>(kMaxBatchDatagrams);
  mDrainedAt = isDrained ? startedAt : mDrainedAt;
  flush();
  if (mOnBatchEnd) {
    mOnBatchEnd();
  }
}

base::Time UdpSocket::drainedAt()
{
  const base::Time now = MainLoop::now();
  if (!mIsReceiving && g_socket_condition_check(mSocket, G_IO_IN) == 0) {
    mDrainedAt = now;
  }
  return mDrainedAt;
}

GSocketAddress* UdpSocket::addressOf(flow::Endpoint aEndpoint)
{
  const auto found = mAddressCache.find(aEndpoint);
  if (found != mAddressCache.end()) {
    return found->second;
  }
  if (mAddressCache.size() >= kMaxCachedAddresses) {
    flush();
    for (const auto& [endpoint, address] : mAddressCache) {
      g_object_unref(address);
    }
    mAddressCache.clear();
  }
  return mAddressCache.emplace(aEndpoint, makeAddress(aEndpoint)).first->second;
}

void UdpSocket::setAlternatePort(flow::Endpoint aAlternate,
                                 std::function<bool(flow::Endpoint)> aUsesAlternatePort)
{
  mAlternateLocal = aAlternate;
  mUsesAlternatePort = std::move(aUsesAlternatePort);
}

// Returns null if the alternate port cannot be bound; the datagram then leaves from the first port.
UdpSocket* UdpSocket::openAlternate()
{
  if (!mAlternateSocket) {
    try {
      mAlternateSocket = std::make_unique<UdpSocket>(mAlternateLocal, mMaxDatagramBytes);
    } catch (const std::runtime_error&) {
      ++mCounts.mSendFailures;
      return nullptr;
    }
    mAlternateSocket->onDatagram(mReceiver);
    mAlternateSocket->onBatchEnd([this] { flush(); });
  }
  return mAlternateSocket.get();
}

void UdpSocket::enqueue(flow::Endpoint aTo, flow::Bytes aBytes)
{
  if (mUsesAlternatePort && mUsesAlternatePort(aTo)) {
    if (UdpSocket* alternate = openAlternate()) {
      alternate->enqueue(aTo, std::move(aBytes));
      return;
    }
  }
  if (mSendQueue.size() >= kMaxQueuedDatagrams) {
    flush();
  }
  GSocketAddress* address = addressOf(aTo);
  mSendQueue.push_back({ address, std::move(aBytes) });
}

void UdpSocket::flush()
{
  if (mAlternateSocket) {
    mAlternateSocket->flush();
  }
  if (mSendQueue.empty()) {
    return;
  }
  std::vector<GOutputVector> vectors(mSendQueue.size());
  std::vector<GOutputMessage> messages(mSendQueue.size());
  for (std::size_t i = 0; i < mSendQueue.size(); ++i) {
    vectors[i] = { mSendQueue[i].mBytes.data(), mSendQueue[i].mBytes.size() };
    messages[i] = { mSendQueue[i].mTo, &vectors[i], 1, 0, nullptr, 0 };
  }
  std::size_t sent = 0;
  while (sent < messages.size()) {
    const auto remaining = static_cast<guint>(messages.size() - sent);
    const gint count =
      g_socket_send_messages(mSocket, &messages[sent], remaining, 0, nullptr, nullptr);
    if (count <= 0) {
      // The kernel rejected the first remaining datagram; drop it like a datagram lost in transit.
      ++mCounts.mSendFailures;
      ++sent;
      continue;
    }
    const std::size_t end = sent + static_cast<std::size_t>(count);
    for (; sent < end; ++sent) {
      ++mCounts.mSentDatagrams;
      mCounts.mSentBytes += mSendQueue[sent].mBytes.size();
    }
  }
  mSendQueue.clear();
}

} // namespace cornelcross::net
