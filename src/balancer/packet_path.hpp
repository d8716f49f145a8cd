#pragma once

#include "balancer/packet_router.hpp"
#include "net/udp_socket.hpp"

#include <functional>

namespace cornelcross::balancer {

/// @brief Processes callers' packets in a balancer: routes, encodes and enqueues each packet.
class PacketPath
{
public:
  /// @brief Called with the reason of each drop.
  using DropHook = std::function<void(DropReason)>;

  /// @brief Called with each refusal.
  using RefuseHook = std::function<void(const RefuseFlow&)>;

  /// @brief Called with each packet of a new flow that is forwarded to an agent.
  using NewFlowHook = std::function<void(const SendForward&, std::span<const std::byte>)>;

  /// @brief Sets the hook for new flows.
  void onNewFlow(NewFlowHook aHook) { mOnNewFlow = std::move(aHook); }

  /// @param aOnRefuse sends the RST to the caller; may be empty if aRouter never refuses a flow
  PacketPath(PacketRouter& aRouter,
             net::UdpSocket& aSocket,
             DropHook aOnDrop,
             RefuseHook aOnRefuse = {});

  /// @brief Processes one IP packet. The next flush of the socket sends the enqueued message.
  void handle(base::Time aNow, std::span<const std::byte> aPacket);

  /// @brief Number of packets forwarded to agents.
  std::uint64_t packetsForwarded() const { return mPacketsForwarded; }

private:
  PacketRouter& mRouter;
  net::UdpSocket& mSocket;
  DropHook mOnDrop;
  RefuseHook mOnRefuse;
  NewFlowHook mOnNewFlow;
  std::uint64_t mPacketsForwarded = 0;
};

} // namespace cornelcross::balancer
