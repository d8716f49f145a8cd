#pragma once

#include "base/time.hpp"
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

  /// @brief Binds to aLocal. @throws std::runtime_error if the address cannot be bound
  /// @param aMaxDatagramBytes size to which longer received datagrams are truncated
  explicit UdpSocket(flow::Endpoint aLocal, std::size_t aMaxDatagramBytes = kMaxDatagramBytes);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// @brief Calls aReceiver from the main loop for each received datagram; flushes after each
  /// batch.
  void onDatagram(Receiver aReceiver);

  /// @brief Adds a second local port. Datagrams to destinations for which aUsesAlternatePort
  /// returns true leave from that port; datagrams are received at both ports.
  /// @param aAlternate local endpoint, bound at its first use; port 0 selects any free port
  void setAlternatePort(flow::Endpoint aAlternate,
                        std::function<bool(flow::Endpoint)> aUsesAlternatePort);

  /// @brief Calls aHook after each received batch.
  void onBatchEnd(std::function<void()> aHook) { mOnBatchEnd = std::move(aHook); }

  /// @brief Queues a datagram, which the next flush() sends.
  void enqueue(flow::Endpoint aTo, flow::Bytes aBytes);

  /// @brief Sends the queued datagrams. Datagrams that the kernel rejects are counted and dropped.
  void flush();

  /// @brief Latest known time at which each datagram that had arrived had been passed to the
  /// receiver; now if none waits.
  base::Time drainedAt();

  /// @brief Datagrams and bytes received and sent so far.
  const SocketCounts& counts() const { return mCounts; }

  /// @brief Number of datagrams that the kernel rejected or for which the alternate port could not
  /// be bound.
  std::uint64_t sendFailures() const { return mCounts.mSendFailures; }

private:
  struct QueuedDatagram
  {
    GSocketAddress* mTo;
    flow::Bytes mBytes;
  };

  static gboolean dispatch(GSocket* aSocket, GIOCondition aCondition, gpointer aSelf);
  void receiveBatch();
  UdpSocket* openAlternate();
  GSocketAddress* addressOf(flow::Endpoint aEndpoint);

  GSocket* mSocket = nullptr;
  GSource* mSource = nullptr;
  Receiver mReceiver;
  std::function<void()> mOnBatchEnd;
  std::size_t mMaxDatagramBytes;
  flow::Endpoint mAlternateLocal;
  std::function<bool(flow::Endpoint)> mUsesAlternatePort;
  std::unique_ptr<UdpSocket> mAlternateSocket;
  std::vector<flow::Bytes> mBuffers;
  std::vector<QueuedDatagram> mSendQueue;
  std::unordered_map<flow::Endpoint, GSocketAddress*, flow::EndpointHash> mAddressCache;
  SocketCounts mCounts;
  base::Time mDrainedAt;
  bool mIsReceiving = false; ///< a batch is being passed to the receiver
};

} // namespace cornelcross::net
