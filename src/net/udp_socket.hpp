#pragma once

#include "flow/packet_edit.hpp"
#include "net/socket_counts.hpp"

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <unordered_map>

namespace cornelcross::net {

/// @brief UDP socket that receives and sends in batches.
class UdpSocket
{
public:
  /// @brief Largest datagram over IPv4, in bytes.
  static constexpr std::size_t kMaxDatagramBytes = 65507;

  /// @brief Called with each datagram and its sender.
  using Receiver = std::function<void(std::span<const std::byte>, flow::Endpoint)>;

  /// @brief Binds to aLocal. @throws std::runtime_error if the address can't be bound
  /// @param aMaxDatagram bytes; longer ones are cut off there
  explicit UdpSocket(flow::Endpoint aLocal, std::size_t aMaxDatagram = kMaxDatagramBytes);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// @brief Calls aReceiver for each datagram from the main loop; flushes after each batch.
  void onDatagram(Receiver aReceiver);

  /// @brief Sends datagrams for which aUsesSpare holds from a second port, on which datagrams are
  /// received as well. @param aSpare opened when it is first used; port 0 stands for any
  void setAlternatePort(flow::Endpoint aSpare, std::function<bool(flow::Endpoint)> aUsesSpare);

  /// @brief Calls aHook after each batch that was received.
  void onBatchEnd(std::function<void()> aHook) { mBatchEnd = std::move(aHook); }

  /// @brief Queues a datagram; it leaves with the next flush().
  void enqueue(flow::Endpoint aTo, flow::Bytes aBytes);

  /// @brief Sends what is queued. What the kernel doesn't take is counted and dropped.
  void flush();

  /// @brief What went through so far.
  const SocketCounts& counts() const { return mCounts; }

  /// @brief Datagrams that the kernel didn't take.
  std::uint64_t sendFailures() const { return mCounts.mSendFailures; }

private:
  struct Outgoing
  {
    GSocketAddress* mTo;
    flow::Bytes mBytes;
  };

  static gboolean dispatch(GSocket* aSocket, GIOCondition aCondition, gpointer aSelf);
  void receiveBatch();
  UdpSocket* openSpare();
  GSocketAddress* addressOf(flow::Endpoint aEndpoint);

  GSocket* mSocket = nullptr;
  GSource* mSource = nullptr;
  Receiver mReceiver;
  std::function<void()> mBatchEnd;
  std::size_t mMaxDatagram;
  flow::Endpoint mSpareLocal;
  std::function<bool(flow::Endpoint)> mUsesSpare;
  std::unique_ptr<UdpSocket> mSpare;
  std::vector<flow::Bytes> mBuffers;
  std::vector<Outgoing> mOutgoing;
  std::unordered_map<flow::Endpoint, GSocketAddress*, flow::EndpointHash> mAddresses;
  SocketCounts mCounts;
};

} // namespace cornelcross::net
