#include "fakes/fabric/relay.hpp"

namespace cornelcross::fakes {

Relay::Relay(net::MainLoop& aLoop, flow::Endpoint aListen, std::uint64_t aSeed)
  : mLoop(aLoop), mSocket(aListen), mRandom(aSeed)
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    onDatagram(aDatagram, aFrom);
  });
}

void Relay::onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  const auto packet = flow::TcpPacket::parse(aDatagram);
  if (!packet) {
    return;
  }
  const flow::Bytes bytes(aDatagram.begin(), aDatagram.end());
  // An address that was dialled is a service; packets from it travel to callers.
  if (mServices.count(packet->mSource.mAddress.mValue) != 0) {
    const auto caller = mCallers.find(packet->mDestination.mAddress.mValue);
    if (caller != mCallers.end()) {
      send(caller->second, bytes);
    }
    return;
  }
  mCallers[packet->mSource.mAddress.mValue] = aFrom;
  mServices.insert(packet->mDestination.mAddress.mValue);
  if (!mBalancers.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, mBalancers.size() - 1);
    send(mBalancers[pick(mRandom)], bytes);
  }
}

bool Relay::happens(double aProbability)
{
  return aProbability > 0 && std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
}

void Relay::send(flow::Endpoint aTo, const flow::Bytes& aPacket)
{
  if (happens(mQuality.mLoss)) {
    return;
  }
  const unsigned copies = happens(mQuality.mDuplicate) ? 2 : 1;
  for (unsigned i = 0; i < copies; ++i) {
    const unsigned jitter =
      mQuality.mJitterMs == 0
        ? 0
        : std::uniform_int_distribution<unsigned>(0, mQuality.mJitterMs)(mRandom);
    const unsigned delay = mQuality.mDelayMs + jitter;
    if (delay == 0) {
      mSocket.queue(aTo, aPacket);
      continue;
    }
    mLoop.after(std::chrono::milliseconds(delay), [this, aTo, aPacket] {
      mSocket.queue(aTo, aPacket);
      mSocket.flush();
    });
  }
}

} // namespace cornelcross::fakes
