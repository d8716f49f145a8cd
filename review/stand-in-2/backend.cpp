#include "backend.hpp"

#include <utility>

namespace review {

namespace {

constexpr double kWorkSeconds = 0.02;

} // namespace

Backend::Backend(BackendStart aStart, BackendHooks aHooks)
  : mStart(std::move(aStart))
  , mHooks(std::move(aHooks))
  , mRandom(static_cast<std::mt19937::result_type>(mStart.mBorn + mStart.mAddress))
  , mSocket(openSocket(SOCK_DGRAM, mStart.mAddress, Ports::kBackend))
  , mListener(openSocket(SOCK_STREAM, mStart.mAddress, Ports::kBackend))
{
}

Backend::~Backend()
{
  close(mSocket);
  close(mListener);
  for (const int fd : mConnections) {
    close(fd);
  }
}

std::set<int> Backend::fallSilent()
{
  return std::exchange(mConnections, {});
}

void Backend::addTo(std::vector<pollfd>& aFds) const
{
  aFds.push_back({ mSocket, POLLIN, 0 });
  aFds.push_back({ mListener, POLLIN, 0 });
  for (const int fd : mConnections) {
    aFds.push_back({ fd, POLLIN, 0 });
  }
}

void Backend::onReadable(int aFd)
{
  if (aFd == mSocket) {
    receiveAll(mSocket, [this](const std::string& aBytes) { onPacket(aBytes); });
  } else if (aFd == mListener) {
    const int fd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      mConnections.insert(fd);
    }
  } else if (mConnections.contains(aFd)) {
    std::vector<char> buffer(4096);
    const ssize_t size = recv(aFd, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      close(aFd);
      mConnections.erase(aFd);
      return;
    }
    const std::string response =
      std::string("HTTP/1.1 ") + (mIsDraining ? "503 Service Unavailable" : "200 OK") +
      "\r\nContent-Length: 0\r\nX-Instance-Id: " + mStart.mId + "\r\n\r\n";
    if (::send(aFd, response.data(), response.size(), MSG_NOSIGNAL) < 0) {
      close(aFd);
      mConnections.erase(aFd);
    }
  }
}

void Backend::onPacket(const std::string& aBytes)
{
  const auto packet = Packet::decode(aBytes);
  if (!packet || packet->mSum != packet->expectedSum()) {
    mHooks.mOnForged(mStart, "a packet that no client wrote so");
    return;
  }
  const FlowKey key{
    packet->mSource, packet->mSourcePort, packet->mDestination, packet->mDestinationPort
  };
  if (packet->has(kSyn) && packet->has(kAck)) {
    mHooks.mOnForged(mStart, "a SYN+ACK at a backend");
    return;
  }
  if (packet->has(kSyn)) {
    onSyn(key, *packet);
    return;
  }
  const auto found = mFlows.find(key);
  const bool isHeld =
    found != mFlows.end() && (found->second.mState != State::kHalfOpen ||
                              packet->mAcknowledgement == found->second.mOwnInitial + 1);
  if (!isHeld) {
    Packet bounced = *packet;
    bounced.mFlags |= kBounced;
    bounced.mPad = 0;
    sendTo(mSocket, mStart.mAddress, Ports::kOutbound, bounced.encode());
    return;
  }
  onSegment(key, found->second, *packet);
}

void Backend::onSyn(const FlowKey& aKey, const Packet& aPacket)
{
  auto found = mFlows.find(aKey);
  if (found == mFlows.end() || found->second.mClientInitial != aPacket.mSequence) {
    Flow flow;
    flow.mClientInitial = aPacket.mSequence;
    flow.mClientNext = aPacket.mSequence + 1;
    flow.mOwnInitial = mRandom();
    flow.mOwnNext = flow.mOwnInitial + 1;
    found = mFlows.insert_or_assign(aKey, flow).first;
    mHooks.mOnOpening(mStart, aPacket);
  }
  if (found->second.mState == State::kHalfOpen) {
    send(aKey, found->second, kSyn | kAck, found->second.mOwnInitial, "");
  }
}

void Backend::onSegment(const FlowKey& aKey, Flow& aFlow, const Packet& aPacket)
{
  if (aPacket.has(kRst)) {
    aFlow.mState = State::kEnded;
    return;
  }
  if (aFlow.mState == State::kEnded) {
    send(aKey, aFlow, aPacket.has(kFin) ? kAck : kRst, aFlow.mOwnNext, "");
    return;
  }
  aFlow.mState = State::kOpen;
  if (aPacket.has(kFin)) {
    aFlow.mClientNext = aPacket.mSequence + 1;
    send(aKey, aFlow, kFin | kAck, aFlow.mOwnNext, "");
    aFlow.mState = State::kEnded;
    return;
  }
  if (aPacket.mData.empty()) {
    return;
  }
  if (aPacket.mSequence != aFlow.mClientNext) {
    if (aFlow.mRespondAt == 0 && !aFlow.mResponse.empty()) {
      sendResponse(aKey, aFlow);
    }
    return;
  }
  aFlow.mClientNext += static_cast<std::uint32_t>(aPacket.mData.size());
  const std::string name = "X-Request-Id: ";
  const std::size_t start = aPacket.mData.find(name) + name.size();
  aFlow.mRequestId = aPacket.mData.substr(start, aPacket.mData.find("\r\n", start) - start);
  aFlow.mRespondAt = now() + kWorkSeconds;
  mHooks.mOnRun(mStart, aPacket, aFlow.mRequestId);
}

void Backend::onTick()
{
  for (auto& [key, flow] : mFlows) {
    if (flow.mRespondAt > 0 && now() >= flow.mRespondAt && flow.mState == State::kOpen) {
      respond(key, flow);
    }
  }
}

void Backend::respond(const FlowKey& aKey, Flow& aFlow)
{
  aFlow.mRespondAt = 0;
  aFlow.mHasClosed = mIsDraining;
  aFlow.mResponse = "HTTP/1.1 200 OK\r\nX-Server-Signature: " + mStart.mService +
                    "\r\nContent-Length: " + std::to_string(aFlow.mRequestId.size()) + "\r\n\r\n" +
                    aFlow.mRequestId;
  aFlow.mOwnNext += static_cast<std::uint32_t>(aFlow.mResponse.size());
  sendResponse(aKey, aFlow);
}

void Backend::sendResponse(const FlowKey& aKey, const Flow& aFlow)
{
  const auto size = static_cast<std::uint32_t>(aFlow.mResponse.size());
  const auto flags = static_cast<std::uint8_t>(kAck | (aFlow.mHasClosed ? kFin : 0));
  send(aKey, aFlow, flags, aFlow.mOwnNext - size, aFlow.mResponse);
}

void Backend::send(const FlowKey& aKey,
                   const Flow& aFlow,
                   std::uint8_t aFlags,
                   std::uint32_t aSequence,
                   const std::string& aData)
{
  Packet packet;
  packet.mFlags = aFlags;
  packet.mSource = std::get<2>(aKey);
  packet.mSourcePort = std::get<3>(aKey);
  packet.mDestination = std::get<0>(aKey);
  packet.mDestinationPort = std::get<1>(aKey);
  packet.mSequence = aSequence;
  packet.mAcknowledgement = aFlow.mClientNext;
  packet.mData = aData;
  packet.mSum = packet.expectedSum();
  sendTo(mSocket, mStart.mAddress, Ports::kOutbound, packet.encode());
}

} // namespace review
