#pragma once

#include "unit/support/packets.hpp"

#include <map>
#include <set>

namespace cornelcross::test {

/// @brief Model of the part of an upstream's TCP that a faulty load balancer can disturb. The low
/// four bits of each initial sequence number hold the index of the upstream.
class ModelUpstream
{
public:
  /// @brief Identity of a payload byte: caller, the caller's initial sequence number, and the
  /// byte's offset to that number.
  using ByteId = std::tuple<flow::Endpoint, std::uint32_t, std::uint32_t>;

  ModelUpstream(std::uint32_t aIndex, flow::Endpoint aService) : mIndex(aIndex), mService(aService)
  {
  }

  /// @brief Handles a packet from a caller. @return the packets that the upstream sends
  std::vector<flow::Bytes> receive(const flow::Bytes& aPacket)
  {
    const auto packet = *flow::TcpPacket::parse(aPacket);
    mForeignPackets += packet.mDestination != mService ? 1 : 0;
    const auto found = mConnections.find(packet.mSource);
    if (packet.has(flow::kRst)) {
      if (found != mConnections.end() && packet.mSequence == found->second.mReceiveNext) {
        mConnections.erase(found);
      }
      return {};
    }
    if (found != mConnections.end()) {
      return handleSegment(packet, found->second);
    }
    return packet.isInitialSyn() ? acceptConnection(packet)
                                 : std::vector<flow::Bytes>{ flow::makeReset(packet) };
  }

  /// @brief Drops all connections, as a restart of the upstream does.
  void restart() { mConnections.clear(); }

  /// @brief Payload bytes that the upstream's application received.
  const std::set<ByteId>& bytes() const { return mBytes; }

  /// @brief Number of packets whose destination is another service.
  std::size_t foreignPackets() const { return mForeignPackets; }

private:
  struct Connection
  {
    std::uint32_t mCallerInitial = 0;
    std::uint32_t mReceiveNext = 0;
    std::uint32_t mSendNext = 0;
    bool mIsEstablished = false;
    std::size_t mLastResponseBytes = 0;
  };

  flow::Bytes segment(const flow::TcpPacket& aTo,
                      const Connection& aConnection,
                      std::uint8_t aFlags,
                      std::uint32_t aSequence,
                      std::size_t aPayloadBytes = 0) const
  {
    return makePacket(
      { mService, aTo.mSource, aFlags, aSequence, aConnection.mReceiveNext, aPayloadBytes });
  }

  std::vector<flow::Bytes> acceptConnection(const flow::TcpPacket& aPacket)
  {
    const std::uint32_t initial = (++mAcceptedCount * 0x01000010U & ~0xFU) | mIndex;
    Connection connection{ aPacket.mSequence, aPacket.mSequence + 1, initial + 1 };
    mConnections.emplace(aPacket.mSource, connection);
    return { segment(aPacket, connection, flow::kSyn | flow::kAck, initial) };
  }

  std::vector<flow::Bytes> handleSegment(const flow::TcpPacket& aPacket, Connection& aConnection)
  {
    constexpr std::size_t kResponseBytes = 10;
    const std::uint32_t sendNext = aConnection.mSendNext;
    if (aPacket.isInitialSyn() && !aConnection.mIsEstablished) {
      return { segment(aPacket, aConnection, flow::kSyn | flow::kAck, sendNext - 1) };
    }
    const bool isExpectedSegment =
      aPacket.mSequence == aConnection.mReceiveNext && !aPacket.isInitialSyn();
    if (!isExpectedSegment || aPacket.mAcknowledgement - sendNext - 1 < 0x7FFFFFFFU) {
      // An unacceptable segment is answered with an ACK (RFC 9293, section 3.10.7.4), which
      // retransmits the last response.
      return { segment(aPacket,
                       aConnection,
                       flow::kAck,
                       sendNext - static_cast<std::uint32_t>(aConnection.mLastResponseBytes),
                       aConnection.mLastResponseBytes) };
    }
    aConnection.mIsEstablished = true;
    if (aPacket.mPayloadLength == 0) {
      return {};
    }
    for (std::uint32_t i = 0; i < aPacket.mPayloadLength; ++i) {
      mBytes.emplace(aPacket.mSource,
                     aConnection.mCallerInitial,
                     aConnection.mReceiveNext + i - aConnection.mCallerInitial);
    }
    aConnection.mReceiveNext += aPacket.mPayloadLength;
    aConnection.mSendNext += kResponseBytes;
    aConnection.mLastResponseBytes = kResponseBytes;
    return { segment(aPacket, aConnection, flow::kAck, sendNext, kResponseBytes) };
  }

  std::uint32_t mIndex;
  flow::Endpoint mService;
  std::uint32_t mAcceptedCount = 0;
  std::size_t mForeignPackets = 0;
  std::map<flow::Endpoint, Connection> mConnections;
  std::set<ByteId> mBytes;
};

} // namespace cornelcross::test
