#include "clients.hpp"

#include <algorithm>
#include <utility>

namespace review {

namespace {

constexpr double kFirstCopy = 0.2;
constexpr double kSecondCopy = 0.6;
constexpr double kOpeningTime = 1.4;
constexpr double kFirstRetransmission = 0.2;
constexpr double kMaxRetransmission = 1.6;
constexpr double kPause = 0.15; // between two requests of a flow
constexpr std::uint32_t kResetWindow = 76800;

} // namespace

Clients::Clients(std::uint32_t aAddress,
                 std::vector<Route> aRoutes,
                 double aFlowsPerSecond,
                 std::uint32_t aSeed,
                 ClientHooks aHooks)
  : mAddress(aAddress)
  , mRoutes(std::move(aRoutes))
  , mFlowsPerSecond(aFlowsPerSecond)
  , mHooks(std::move(aHooks))
  , mRandom(aSeed)
  , mSocket(openSocket(SOCK_DGRAM, aAddress, Ports::kPacket))
  , mNextOpening(now())
{
}

std::optional<double> Clients::openedAt(const FlowKey& aKey) const
{
  const auto found = mOpenings.find(aKey);
  return found == mOpenings.end() ? std::nullopt : std::optional(found->second);
}

void Clients::onReadable(int aFd)
{
  if (aFd == mSocket) {
    receiveAll(mSocket, [this](const std::string& aBytes) { onPacket(aBytes); });
  }
}

void Clients::onTick()
{
  while (mFlowsPerSecond > 0 && now() >= mNextOpening) {
    mNextOpening += 1 / mFlowsPerSecond;
    open();
  }
  for (auto entry = mFlows.begin(); entry != mFlows.end();) {
    entry = advance(entry->first, entry->second) ? std::next(entry) : mFlows.erase(entry);
  }
}

void Clients::open()
{
  const Route& route = mRoutes[mRandom() % mRoutes.size()];
  const FlowKey key{ mAddress, mNextPort++, route.mHost, route.mPort };
  Flow flow;
  flow.mRoute = &route;
  flow.mNext = mRandom();
  flow.mOpenedAt = now();
  flow.mNextAt = now() + kFirstCopy;
  flow.mRequestsLeft = route.mRequestsPerFlow;
  mOpenings[key] = now();
  send(key, mFlows[key] = flow, kSyn, flow.mNext, "");
}

bool Clients::advance(const FlowKey& aKey, Flow& aFlow)
{
  if (!aFlow.mHasSynAck) {
    if (now() >= aFlow.mNextAt && aFlow.mSynCopies < 2) {
      ++aFlow.mSynCopies;
      aFlow.mNextAt = aFlow.mOpenedAt + kSecondCopy;
      send(aKey, aFlow, kSyn, aFlow.mNext, "");
    }
    return now() - aFlow.mOpenedAt < kOpeningTime;
  }
  if (now() < aFlow.mNextAt) {
    return true;
  }
  if (aFlow.mRequestId.empty()) {
    if (aFlow.mRequestsLeft == 0) {
      send(aKey, aFlow, kFin | kAck, aFlow.mNext, "");
      return false;
    }
    sendRequest(aKey, aFlow);
    return true;
  }
  if (now() - aFlow.mSentAt > aFlow.mRoute->mDeadline) {
    send(aKey, aFlow, kRst | kAck, aFlow.mNext, "");
    return false;
  }
  aFlow.mInterval = std::min(2 * aFlow.mInterval, kMaxRetransmission);
  aFlow.mNextAt = now() + aFlow.mInterval;
  const auto size = static_cast<std::uint32_t>(aFlow.mRequest.size());
  send(aKey, aFlow, kAck, aFlow.mNext - size, aFlow.mRequest);
  return true;
}

void Clients::sendRequest(const FlowKey& aKey, Flow& aFlow)
{
  aFlow.mRequestId = mHooks.mOnRequest(*aFlow.mRoute, aKey);
  aFlow.mRequest = std::string(aFlow.mRoute->mIsSafe ? "GET" : "POST") +
                   " /work HTTP/1.1\r\nX-Request-Id: " + aFlow.mRequestId + "\r\n\r\n";
  --aFlow.mRequestsLeft;
  aFlow.mSentAt = now();
  aFlow.mInterval = kFirstRetransmission;
  aFlow.mNextAt = now() + kFirstRetransmission;
  const std::uint32_t sequence = aFlow.mNext;
  aFlow.mNext += static_cast<std::uint32_t>(aFlow.mRequest.size());
  send(aKey, aFlow, kAck, sequence, aFlow.mRequest);
}

void Clients::onPacket(const std::string& aBytes)
{
  const auto packet = Packet::decode(aBytes);
  if (!packet) {
    mHooks.mOnForged("a malformed packet");
    return;
  }
  const FlowKey key{
    packet->mDestination, packet->mDestinationPort, packet->mSource, packet->mSourcePort
  };
  const auto found = mFlows.find(key);
  if (found == mFlows.end()) {
    return;
  }
  Flow& flow = found->second;
  if (packet->has(kRst)) {
    const bool isNear = packet->mSequence - flow.mPeerNext + kResetWindow <= 2 * kResetWindow;
    if (!flow.mHasSynAck || isNear) {
      mHooks.mOnReset(key, flow.mHasSynAck, packet->mSum == 0);
      mFlows.erase(found);
    }
    return;
  }
  if (packet->mSum != packet->expectedSum()) {
    mHooks.mOnForged("a packet that no backend wrote so");
    return;
  }
  if (packet->has(kSyn)) {
    if (!flow.mHasSynAck && packet->mAcknowledgement == flow.mNext + 1) {
      flow.mHasSynAck = true;
      ++flow.mNext;
      flow.mPeerNext = packet->mSequence + 1;
      sendRequest(key, flow);
    }
    return;
  }
  if (!onSegment(key, flow, *packet)) {
    mFlows.erase(found);
  }
}

bool Clients::onSegment(const FlowKey& aKey, Flow& aFlow, const Packet& aPacket)
{
  if (!aFlow.mHasSynAck || aPacket.mSequence != aFlow.mPeerNext) {
    return true;
  }
  aFlow.mPeerNext += static_cast<std::uint32_t>(aPacket.mData.size());
  if (!aPacket.mData.empty()) {
    mHooks.mOnAnswer(aFlow.mRequestId, aPacket.mData);
    aFlow.mRequestId.clear();
    aFlow.mNextAt = now() + kPause;
    if (!aPacket.has(kFin)) {
      send(aKey, aFlow, kAck, aFlow.mNext, "");
    }
  }
  if (aPacket.has(kFin)) {
    ++aFlow.mPeerNext;
    send(aKey, aFlow, kFin | kAck, aFlow.mNext, "");
    return false;
  }
  return true;
}

void Clients::send(const FlowKey& aKey,
                   const Flow& aFlow,
                   std::uint8_t aFlags,
                   std::uint32_t aSequence,
                   const std::string& aData)
{
  const auto node = mHooks.mRouter(aKey);
  if (!node) {
    return;
  }
  Packet packet;
  packet.mFlags = aFlags;
  packet.mSource = std::get<0>(aKey);
  packet.mSourcePort = std::get<1>(aKey);
  packet.mDestination = std::get<2>(aKey);
  packet.mDestinationPort = std::get<3>(aKey);
  packet.mSequence = aSequence;
  // The copies of a SYN carry their number in place of an acknowledgement.
  packet.mAcknowledgement = aFlags == kSyn ? aFlow.mSynCopies : aFlow.mPeerNext;
  packet.mData = aData;
  packet.mSum = packet.expectedSum();
  sendTo(mSocket, *node, Ports::kPacket, packet.encode());
}

} // namespace review
