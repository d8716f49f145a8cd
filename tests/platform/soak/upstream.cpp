#include "platform/soak/upstream.hpp"

#include "net/main_loop.hpp"
#include "platform/packet.hpp"
#include "platform/soak/packets.hpp"

#include <stdexcept>

namespace cornelcross::soak {

Upstream::Upstream(UpstreamStart aStart, Observations& aObservations, std::uint64_t aSeed)
  : mStart(std::move(aStart))
  , mObservations(aObservations)
  , mRandom(aSeed)
  , mSocket(mStart.mAddress)
  , mService(g_socket_service_new())
  , mHoldsConnections(mRandom() % 4 != 0)
{
  mSocket.onDatagram(
    [this](std::span<const std::byte> aBytes, flow::Endpoint) { onPacket(aBytes); });
  listen();
}

Upstream::~Upstream()
{
  g_socket_service_stop(mService);
  g_socket_listener_close(G_SOCKET_LISTENER(mService));
  g_object_unref(mService);
  for (GSocketConnection* connection : mHeld) {
    g_object_unref(connection);
  }
}

gboolean Upstream::onConnection(GSocketService*,
                                GSocketConnection* aConnection,
                                GObject*,
                                gpointer aSelf)
{
  auto* self = static_cast<Upstream*>(aSelf);
  if (self->mHoldsConnections) {
    self->mHeld.push_back(G_SOCKET_CONNECTION(g_object_ref(aConnection)));
  }
  return TRUE;
}

void Upstream::listen()
{
  GSocketAddress* address = g_inet_socket_address_new_from_string(
    mStart.mAddress.mAddress.toString().c_str(), mStart.mAddress.mPort);
  const bool isListening = g_socket_listener_add_address(G_SOCKET_LISTENER(mService),
                                                         address,
                                                         G_SOCKET_TYPE_STREAM,
                                                         G_SOCKET_PROTOCOL_TCP,
                                                         nullptr,
                                                         nullptr,
                                                         nullptr) == TRUE;
  g_object_unref(address);
  if (!isListening) {
    g_object_unref(mService);
    throw std::runtime_error("cannot listen on " + mStart.mAddress.toString());
  }
  g_signal_connect(mService, "incoming", G_CALLBACK(&Upstream::onConnection), this);
  g_socket_service_start(mService);
}

void Upstream::onPacket(std::span<const std::byte> aBytes)
{
  const auto packet = platform::parsePacket(aBytes);
  if (!packet) {
    mObservations.addViolation(net::MainLoop::now(), "UNASKED: a malformed packet");
    return;
  }
  if (packet->isInitialSyn()) {
    onSyn(*packet);
    return;
  }
  const auto found = mConnections.find(packet->keyFromCaller());
  const bool isHeld =
    found != mConnections.end() && (found->second.mIsOpen || packet->has(flow::kRst) ||
                                    packet->mAcknowledgement == found->second.mOwnNext);
  if (!isHeld) {
    mSocket.enqueue(mStart.mOutbound, markReturned(aBytes));
    return;
  }
  found->second.mIsOpen = true;
  onSegment(found->second, *packet, payloadOf(aBytes));
  if (packet->has(flow::kRst) || packet->has(flow::kFin)) {
    mConnections.erase(found);
  }
}

void Upstream::onSyn(const flow::TcpPacket& aPacket)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  auto found = mConnections.find(key);
  if (found == mConnections.end() || found->second.mInitialSequence != aPacket.mSequence) {
    const auto own = static_cast<std::uint32_t>(mRandom());
    found =
      mConnections
        .insert_or_assign(
          key, Connection{ aPacket.mSequence, aPacket.mSequence + 1, own, own + 1, "", false })
        .first;
  }
  send(key, found->second, flow::kSyn | flow::kAck, found->second.mOwnInitial, "");
}

void Upstream::onSegment(Connection& aConnection,
                         const flow::TcpPacket& aPacket,
                         const std::string& aPayload)
{
  const flow::FlowKey key = aPacket.keyFromCaller();
  if (aPacket.has(flow::kFin)) {
    ++aConnection.mCallerNext;
    send(key, aConnection, flow::kFin | flow::kAck, aConnection.mOwnNext, "");
    return;
  }
  if (aPayload.empty()) {
    return;
  }
  if (aPacket.mSequence == aConnection.mCallerNext) {
    aConnection.mCallerNext += aPacket.mPayloadLength;
    aConnection.mLastResponse = respond(aPayload);
    aConnection.mOwnNext += static_cast<std::uint32_t>(aConnection.mLastResponse.size());
  }
  send(key,
       aConnection,
       flow::kAck,
       aConnection.mOwnNext - static_cast<std::uint32_t>(aConnection.mLastResponse.size()),
       aConnection.mLastResponse);
}

std::string Upstream::respond(const std::string& aRequest)
{
  mObservations.onStarted(net::MainLoop::now(),
                          std::stoull(aRequest),
                          mStart.mService,
                          mStart.mId + "/" + std::to_string(mStart.mStartedAtMs) + " at " +
                            mStart.mAddress.toString());
  return aRequest;
}

void Upstream::send(const flow::FlowKey& aFlow,
                    const Connection& aConnection,
                    std::uint8_t aFlags,
                    std::uint32_t aSequence,
                    const std::string& aPayload)
{
  mSocket.enqueue(
    mStart.mOutbound,
    encode(
      { aFlow.mService, aFlow.mCaller, aFlags, aSequence, aConnection.mCallerNext, aPayload }));
}

} // namespace cornelcross::soak
