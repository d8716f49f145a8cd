#include "balancer/packet_path.hpp"

#include "wire/codec.hpp"

#include <utility>

namespace cornelcross::balancer {

PacketPath::PacketPath(PacketRouter& aRouter,
                       net::UdpSocket& aSocket,
                       DropHook aOnDrop,
                       RefuseHook aOnRefuse)
  : mRouter(aRouter), mSocket(aSocket), mOnDrop(std::move(aOnDrop)), mOnRefuse(std::move(aOnRefuse))
{
}

void PacketPath::handle(base::Time aNow, std::span<const std::byte> aPacket)
{
  const Action action = mRouter.route(aNow, aPacket);
  if (const auto* drop = std::get_if<DropPacket>(&action)) {
    mOnDrop(drop->mReason);
    return;
  }
  if (const auto* refusal = std::get_if<RefuseFlow>(&action)) {
    mOnRefuse(*refusal);
    return;
  }
  const auto& send = std::get<SendForward>(action);
  ++mPacketsForwarded;
  if (send.mIsInitialSyn && mOnNewFlow) {
    mOnNewFlow(send, aPacket);
  }
  mSocket.enqueue(send.mTo, wire::encodeForward(mRouter.revision(), send.mForward, aPacket));
}

} // namespace cornelcross::balancer
