#include "balancer/packet_path.hpp"

#include "wire/codec.hpp"

#include <utility>

namespace cornelcross::balancer {

PacketPath::PacketPath(Decisions& aDecisions,
                       net::UdpSocket& aSocket,
                       DropHook aOnDrop,
                       RefuseHook aOnRefuse)
  : mDecisions(aDecisions)
  , mSocket(aSocket)
  , mOnDrop(std::move(aOnDrop))
  , mOnRefuse(std::move(aOnRefuse))
{
}

void PacketPath::handle(base::Time aNow, std::span<const std::byte> aPacket)
{
  const Action action = mDecisions.decide(aNow, aPacket);
  if (const auto* drop = std::get_if<DropPacket>(&action)) {
    mOnDrop(drop->mReason);
    return;
  }
  if (const auto* refusal = std::get_if<RefuseFlow>(&action)) {
    mOnRefuse(*refusal);
    return;
  }
  const auto& send = std::get<SendForward>(action);
  ++mForwarded;
  if (send.mOpensFlow && mOnOffer) {
    mOnOffer(send, aPacket);
  }
  mSocket.queue(send.mTo, wire::encodeForward(mDecisions.revision(), send.mForward, aPacket));
}

} // namespace cornelcross::balancer
