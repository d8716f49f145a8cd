#pragma once

#include "flow/flow_key.hpp"
#include "net/udp_socket.hpp"
#include "platform/soak/observations.hpp"

#include <functional>
#include <optional>
#include <random>

namespace cornelcross::soak {

/// @brief Settings of Callers.
struct CallerSettings
{
  flow::Endpoint mLocal;                  ///< all flows come from its address
  std::vector<flow::Endpoint> mAddresses; ///< addresses to call
  double mFlowsPerSecond = 20.0;          ///< new flows
  std::uint32_t mMaxRequestsPerFlow = 30; ///< half of the flows carry one request
  std::uint64_t mSeed = 1;

  auto operator<=>(const CallerSettings&) const = default;
};

/// @brief Stand-in for the callers of one zone: opens flows, sends requests on each, one at a time,
/// and checks the responses.
class Callers
{
public:
  /// Returns the balancer to which the fabric sends a packet of a flow; empty if there is none.
  using Router = std::function<std::optional<flow::Endpoint>(const flow::FlowKey&)>;

  Callers(CallerSettings aSettings, Observations& aObservations, Router aRouter);

  /// @brief Opens flows, sends requests and retransmissions that are due. Called every few
  /// milliseconds.
  void onTick(base::Time aNow);

  /// @brief Flows that were reset while they were open.
  std::size_t resets() const { return mResets; }

private:
  struct Connection
  {
    std::uint32_t mNext = 0;     ///< next sequence number of the caller
    std::uint32_t mPeerNext = 0; ///< next sequence number of the upstream; 0 before its SYN
    std::uint32_t mSynCopies = 0;
    std::uint32_t mRequestsLeft = 1;
    std::uint64_t mAwaited = 0; ///< request without a response; 0 for none
    std::uint32_t mAwaitedSequence = 0;
    base::Time mOpenedAt;
    base::Time mSentAt;   ///< of the first copy of the awaited request
    base::Time mResendAt; ///< next copy of the SYN or the request, or next request
    base::Duration mInterval{ 0 };
  };

  void open(base::Time aNow);
  bool advance(base::Time aNow, const flow::FlowKey& aFlow, Connection& aConnection);
  void sendRequest(base::Time aNow, const flow::FlowKey& aFlow, Connection& aConnection);
  void send(const flow::FlowKey& aFlow,
            const Connection& aConnection,
            std::uint8_t aFlags,
            std::uint32_t aSequence,
            const std::string& aPayload);
  void onPacket(base::Time aNow, std::span<const std::byte> aBytes);
  void onSegment(base::Time aNow,
                 const flow::FlowKey& aFlow,
                 Connection& aConnection,
                 std::span<const std::byte> aBytes);

  CallerSettings mSettings;
  Observations& mObservations;
  Router mRouter;
  std::mt19937_64 mRandom;
  net::UdpSocket mSocket;
  std::map<flow::FlowKey, Connection> mConnections;
  std::uint16_t mNextPort;
  base::Time mNextOpening;
  std::size_t mResets = 0;
};

} // namespace cornelcross::soak
