#pragma once

#include "flow/flow_key.hpp"
#include "net/udp_socket.hpp"
#include "platform/soak/observations.hpp"

#include <gio/gio.h>
#include <memory>
#include <random>
#include <utility>

namespace cornelcross::soak {

/// @brief Identity of one start of an upstream.
struct UpstreamStart
{
  std::string mId;
  std::string mService;
  std::uint64_t mStartedAtMs = 0;
  flow::Endpoint mAddress;  ///< receives packets over UDP and accepts TCP connections
  flow::Endpoint mOutbound; ///< takes the packets that the upstream sends

  auto operator<=>(const UpstreamStart&) const = default;
};

/// @brief Stand-in for an upstream: holds flows, answers requests, and returns packets of flows
/// that it does not hold. Its end, the destructor, discards its flows.
class Upstream
{
public:
  /// @throws std::runtime_error if the address cannot be bound
  Upstream(UpstreamStart aStart, Observations& aObservations, std::uint64_t aSeed);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  const UpstreamStart& start() const { return mStart; }

  /// @brief Returns the held TCP connections, which then stay open, silent, when this upstream
  /// ends. The caller owns them.
  std::vector<GSocketConnection*> takeConnections() { return std::exchange(mHeld, {}); }

private:
  struct Connection
  {
    std::uint32_t mInitialSequence = 0; ///< of the caller
    std::uint32_t mCallerNext = 0;
    std::uint32_t mOwnInitial = 0;
    std::uint32_t mOwnNext = 0;
    std::string mLastResponse;
    bool mIsOpen = false; ///< the caller acknowledged this upstream's SYN
  };

  static gboolean onConnection(GSocketService* aService,
                               GSocketConnection* aConnection,
                               GObject* aSource,
                               gpointer aSelf);
  void listen();
  void onPacket(std::span<const std::byte> aBytes);
  void onSyn(const flow::TcpPacket& aPacket);
  void onSegment(Connection& aConnection,
                 const flow::TcpPacket& aPacket,
                 const std::string& aPayload);
  std::string respond(const std::string& aRequest);
  void send(const flow::FlowKey& aFlow,
            const Connection& aConnection,
            std::uint8_t aFlags,
            std::uint32_t aSequence,
            const std::string& aPayload);

  UpstreamStart mStart;
  Observations& mObservations;
  std::mt19937_64 mRandom;
  net::UdpSocket mSocket;
  GSocketService* mService;
  bool mHoldsConnections; ///< others are closed at once
  std::vector<GSocketConnection*> mHeld;
  std::map<flow::FlowKey, Connection> mConnections;
};

} // namespace cornelcross::soak
