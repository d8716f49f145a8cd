#include "fakes/fabric/relay.hpp"

#include "fakes/common/record.hpp"
#include "wire/codec.hpp"

namespace cornelcross::fakes {

namespace {

constexpr base::Duration kRecordInterval = std::chrono::milliseconds(50);

bool carriesCallerPacket(std::span<const std::byte> aDatagram)
{
  const auto decoded = wire::decode(aDatagram);
  const auto* frame = std::get_if<wire::Frame>(&decoded);
  return frame != nullptr && std::holds_alternative<wire::Forward>(frame->mMessage);
}

} // namespace

Relay::Relay(net::MainLoop& aLoop, flow::Endpoint aListen, std::uint64_t aSeed, std::string aName)
  : mLoop(aLoop), mSocket(aListen), mName(std::move(aName)), mLinks(aSeed), mRandom(aSeed)
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    onPacket(aDatagram, aFrom);
  });
}

void Relay::addNode(const Node& aNode)
{
  Port& port = mNodes[aNode.mReal.mAddress];
  port.mNode = aNode;
  port.mSocket = std::make_unique<net::UdpSocket>(aNode.mAdvertised);
  port.mStreams = std::make_unique<StreamPort>(aNode.mAdvertised, aNode.mReal);
  port.mSocket->onDatagram(
    [this, &port](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
      onNodeDatagram(port, aDatagram, aFrom);
    });
}

void Relay::onPacket(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  const auto packet = flow::TcpPacket::parse(aDatagram);
  if (!packet) {
    return;
  }
  const flow::Bytes bytes(aDatagram.begin(), aDatagram.end());
  // An address that was dialled is a service; packets from it travel to callers.
  if (mServices.count(packet->mSource.mAddress.mValue) != 0) {
    const auto caller = mCallers.find(packet->mDestination.mAddress.mValue);
    const bool isForgotten = mForgottenFlows.count(packet->keyFromUpstream()) != 0;
    if (caller != mCallers.end() && !isForgotten) {
      send(mSocket, aFrom, caller->second, bytes);
    }
    return;
  }
  mCallers[packet->mSource.mAddress.mValue] = aFrom;
  mServices.insert(packet->mDestination.mAddress.mValue);
  mFlows.insert(packet->keyFromCaller());
  const bool isForgotten = mForgottenFlows.count(packet->keyFromCaller()) != 0;
  if (!mBalancers.empty() && !isForgotten) {
    std::uniform_int_distribution<std::size_t> pick(0, mBalancers.size() - 1);
    send(mSocket, aFrom, mBalancers[pick(mRandom)], bytes);
  }
}

void Relay::onNodeDatagram(const Port& aTo,
                           std::span<const std::byte> aDatagram,
                           flow::Endpoint aFrom)
{
  const auto from = mNodes.find(aFrom.mAddress);
  if (from == mNodes.end()) {
    return;
  }
  recordDelivery(from->second, aTo, aDatagram);
  // The datagram leaves from the sender's advertised endpoint, where answers reach the sender.
  send(
    *from->second.mSocket, aFrom, aTo.mNode.mReal, flow::Bytes(aDatagram.begin(), aDatagram.end()));
}

void Relay::recordDelivery(const Port& aFrom, const Port& aTo, std::span<const std::byte> aDatagram)
{
  const base::Time now = net::MainLoop::now();
  const auto key = std::make_pair(aFrom.mNode.mName, aTo.mNode.mName);
  const auto last = mRecorded.find(key);
  const bool isDue = last == mRecorded.end() || now - last->second >= kRecordInterval;
  if (isDue && carriesCallerPacket(aDatagram)) {
    mRecorded[key] = now;
    record(mName, "forwarded", { { "from", key.first }, { "to", key.second } });
  }
}

void Relay::send(net::UdpSocket& aSocket,
                 flow::Endpoint aFrom,
                 flow::Endpoint aTo,
                 const flow::Bytes& aPacket)
{
  for (const unsigned delay : mLinks.carry(aFrom, aTo)) {
    if (delay == 0) {
      aSocket.enqueue(aTo, aPacket);
      aSocket.flush();
      continue;
    }
    mLoop.after(std::chrono::milliseconds(delay), [&aSocket, aTo, aPacket] {
      aSocket.enqueue(aTo, aPacket);
      aSocket.flush();
    });
  }
}

} // namespace cornelcross::fakes
