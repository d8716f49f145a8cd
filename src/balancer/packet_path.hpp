#pragma once

#include "balancer/packet_router.hpp"
#include "net/udp_socket.hpp"

#include <functional>

namespace cornelcross::balancer {

/// @brief The path of one caller's packet through a balancer: decide, encode, queue.
class PacketPath
{
public:
  /// @brief Called with the reason of each drop.
  using DropHook = std::function<void(DropReason)>;

  /// @brief Called with each refusal.
  using RefuseHook = std::function<void(const RefuseFlow&)>;

  /// @brief Called with each new flow that is handed to an agent.
  using OfferHook = std::function<void(const SendForward&, std::span<const std::byte>)>;

  /// @brief Sets what is called with each new flow.
  void onOffer(OfferHook aHook) { mOnOffer = std::move(aHook); }

  /// @param aOnRefuse sends the reset to the caller; may be empty if the decisions refuse nothing
  PacketPath(PacketRouter& aRouter,
             net::UdpSocket& aSocket,
             DropHook aOnDrop,
             RefuseHook aOnRefuse = {});

  /// @brief Handles one IP packet; what it sends leaves with the socket's next flush.
  void handle(base::Time aNow, std::span<const std::byte> aPacket);

  /// @brief Packets handed to an agent.
  std::uint64_t forwarded() const { return mForwarded; }

private:
  PacketRouter& mRouter;
  net::UdpSocket& mSocket;
  DropHook mOnDrop;
  RefuseHook mOnRefuse;
  OfferHook mOnOffer;
  std::uint64_t mForwarded = 0;
};

} // namespace cornelcross::balancer
