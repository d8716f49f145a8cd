#include "platform/soak/callers.hpp"

#include "net/main_loop.hpp"
#include "platform/packet.hpp"
#include "platform/soak/packets.hpp"

namespace cornelcross::soak {

namespace {

using namespace std::chrono_literals;

// Times of the platform's clients.
constexpr base::Duration kFirstSynCopy = 200ms;
constexpr base::Duration kSecondSynCopy = 600ms;
constexpr base::Duration kOpeningDeadline = 1400ms;
constexpr base::Duration kFirstRetransmission = 200ms;
constexpr base::Duration kMaxRetransmission = 1600ms;
constexpr base::Duration kRequestDeadline = 4s;

constexpr base::Duration kPauseBetweenRequests = 150ms;
constexpr std::uint16_t kFirstPort = 1025;

} // namespace

Callers::Callers(CallerSettings aSettings, Observations& aObservations, Router aRouter)
  : mSettings(std::move(aSettings))
  , mObservations(aObservations)
  , mRouter(std::move(aRouter))
  , mRandom(mSettings.mSeed)
  , mSocket(mSettings.mLocal)
  , mNextPort(kFirstPort)
{
  mSocket.onDatagram([this](std::span<const std::byte> aBytes, flow::Endpoint) {
    onPacket(net::MainLoop::now(), aBytes);
  });
}

void Callers::onTick(base::Time aNow)
{
  if (aNow >= mNextOpening) {
    std::exponential_distribution<double> pause(mSettings.mFlowsPerSecond);
    mNextOpening = aNow + std::chrono::duration_cast<base::Duration>(
                            std::chrono::duration<double>(pause(mRandom)));
    open(aNow);
  }
  for (auto entry = mConnections.begin(); entry != mConnections.end();) {
    entry =
      advance(aNow, entry->first, entry->second) ? std::next(entry) : mConnections.erase(entry);
  }
  mSocket.flush();
}

void Callers::open(base::Time aNow)
{
  const flow::Endpoint address = mSettings.mAddresses[mRandom() % mSettings.mAddresses.size()];
  const flow::FlowKey key{ { mSettings.mLocal.mAddress, mNextPort++ }, address };
  Connection connection;
  connection.mNext = static_cast<std::uint32_t>(mRandom());
  connection.mRequestsLeft =
    mRandom() % 2 == 0 ? 1
                       : 1 + static_cast<std::uint32_t>(mRandom() % mSettings.mMaxRequestsPerFlow);
  connection.mOpenedAt = aNow;
  connection.mResendAt = aNow + kFirstSynCopy;
  mConnections[key] = connection;
  send(key, connection, flow::kSyn, connection.mNext, "");
}

bool Callers::advance(base::Time aNow, const flow::FlowKey& aFlow, Connection& aConnection)
{
  if (aConnection.mPeerNext == 0) {
    if (aNow >= aConnection.mResendAt && aConnection.mSynCopies < 2) {
      aConnection.mResendAt = aConnection.mOpenedAt + kSecondSynCopy;
      ++aConnection.mSynCopies;
      send(aFlow, aConnection, flow::kSyn, aConnection.mNext, "");
    }
    return aNow - aConnection.mOpenedAt < kOpeningDeadline;
  }
  if (aNow < aConnection.mResendAt) {
    return true;
  }
  if (aConnection.mAwaited == 0 && aConnection.mRequestsLeft == 0) {
    send(aFlow, aConnection, flow::kFin | flow::kAck, aConnection.mNext, "");
    return false;
  }
  if (aConnection.mAwaited == 0) {
    sendRequest(aNow, aFlow, aConnection);
    return true;
  }
  if (aNow - aConnection.mSentAt > kRequestDeadline) {
    send(aFlow, aConnection, flow::kRst, aConnection.mNext, "");
    return false;
  }
  aConnection.mInterval = std::min(aConnection.mInterval * 2, kMaxRetransmission);
  aConnection.mResendAt = aNow + aConnection.mInterval;
  send(aFlow,
       aConnection,
       flow::kAck,
       aConnection.mAwaitedSequence,
       std::to_string(aConnection.mAwaited));
  return true;
}

void Callers::sendRequest(base::Time aNow, const flow::FlowKey& aFlow, Connection& aConnection)
{
  aConnection.mAwaited = mObservations.onSent(aNow, aFlow.mService.toString());
  const std::string payload = std::to_string(aConnection.mAwaited);
  aConnection.mAwaitedSequence = aConnection.mNext;
  aConnection.mNext += static_cast<std::uint32_t>(payload.size());
  --aConnection.mRequestsLeft;
  aConnection.mSentAt = aNow;
  aConnection.mInterval = kFirstRetransmission;
  aConnection.mResendAt = aNow + kFirstRetransmission;
  send(aFlow, aConnection, flow::kAck, aConnection.mAwaitedSequence, payload);
}

void Callers::send(const flow::FlowKey& aFlow,
                   const Connection& aConnection,
                   std::uint8_t aFlags,
                   std::uint32_t aSequence,
                   const std::string& aPayload)
{
  const auto balancer = mRouter(aFlow);
  if (balancer) {
    // The copies of a SYN carry their number in place of an acknowledgement.
    const std::uint32_t acknowledgement =
      aFlags == flow::kSyn ? aConnection.mSynCopies : aConnection.mPeerNext;
    mSocket.enqueue(
      *balancer,
      encode({ aFlow.mCaller, aFlow.mService, aFlags, aSequence, acknowledgement, aPayload }));
  }
}

void Callers::onPacket(base::Time aNow, std::span<const std::byte> aBytes)
{
  const auto packet = platform::parsePacket(aBytes);
  if (!packet) {
    mObservations.addViolation(aNow, "MIXED: a malformed packet at a caller");
    return;
  }
  const auto found = mConnections.find(packet->keyFromUpstream());
  if (found == mConnections.end()) {
    return;
  }
  Connection& connection = found->second;
  if (packet->has(flow::kRst)) {
    mResets += connection.mPeerNext != 0 ? 1 : 0;
    mConnections.erase(found);
    return;
  }
  if (packet->has(flow::kSyn)) {
    if (connection.mPeerNext == 0 && packet->mAcknowledgement == connection.mNext + 1) {
      ++connection.mNext;
      connection.mPeerNext = packet->mSequence + 1;
      sendRequest(aNow, found->first, connection);
    }
    return;
  }
  onSegment(aNow, found->first, connection, aBytes);
}

void Callers::onSegment(base::Time aNow,
                        const flow::FlowKey& aFlow,
                        Connection& aConnection,
                        std::span<const std::byte> aBytes)
{
  const auto packet = platform::parsePacket(aBytes);
  if (packet->mPayloadLength == 0 || packet->mSequence != aConnection.mPeerNext) {
    return;
  }
  aConnection.mPeerNext += packet->mPayloadLength;
  mObservations.onAnswered(aNow, aConnection.mAwaited, std::stoull(payloadOf(aBytes)));
  aConnection.mAwaited = 0;
  aConnection.mResendAt = aNow + kPauseBetweenRequests;
  send(aFlow, aConnection, flow::kAck, aConnection.mNext, "");
}

} // namespace cornelcross::soak
