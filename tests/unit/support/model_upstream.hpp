#pragma once

#include "unit/support/packets.hpp"

#include <map>
#include <set>

namespace cornelcross::test {

/// @brief The part of an upstream's TCP that a load balancer can break. Its initial sequence
/// numbers carry its index in their low four bits.
class ModelUpstream
{
public:
  /// @brief One payload byte: caller, the caller's initial sequence number, offset.
  using ByteId = std::tuple<flow::Endpoint, std::uint32_t, std::uint32_t>;

  ModelUpstream(std::uint32_t aIndex, flow::Endpoint aService) : mIndex(aIndex), mService(aService)
  {
  }

  /// @brief Handles a caller's packet. @return what the upstream sends
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
      return answer(packet, found->second);
    }
    return packet.isInitialSyn() ? open(packet)
                                 : std::vector<flow::Bytes>{ flow::makeReset(packet) };
  }

  /// @brief Loses every connection.
  void restart() { mConnections.clear(); }

  /// @brief Payload bytes that the application was given.
  const std::set<ByteId>& bytes() const { return mBytes; }

  /// @brief Packets that were addressed to another service.
  std::size_t foreignPackets() const { return mForeignPackets; }

private:
  struct Connection
  {
    std::uint32_t mCallerInitial = 0;
    std::uint32_t mReceiveNext = 0;
    std::uint32_t mSendNext = 0;
    bool mIsEstablished = false;
    std::size_t mLastAnswer = 0; ///< bytes
  };

  flow::Bytes segment(const flow::TcpPacket& aTo,
                      const Connection& aConnection,
                      std::uint8_t aFlags,
                      std::uint32_t aSequence,
                      std::size_t aPayload = 0) const
  {
    return makePacket(
      { mService, aTo.mSource, aFlags, aSequence, aConnection.mReceiveNext, aPayload });
  }

  std::vector<flow::Bytes> open(const flow::TcpPacket& aPacket)
  {
    const std::uint32_t initial = (++mOpened * 0x01000010U & ~0xFU) | mIndex;
    Connection connection{ aPacket.mSequence, aPacket.mSequence + 1, initial + 1 };
    mConnections.emplace(aPacket.mSource, connection);
    return { segment(aPacket, connection, flow::kSyn | flow::kAck, initial) };
  }

  std::vector<flow::Bytes> answer(const flow::TcpPacket& aPacket, Connection& aConnection)
  {
    constexpr std::size_t kAnswer = 10; // bytes
    const std::uint32_t sendNext = aConnection.mSendNext;
    if (aPacket.isInitialSyn() && !aConnection.mIsEstablished) {
      return { segment(aPacket, aConnection, flow::kSyn | flow::kAck, sendNext - 1) };
    }
    const bool isNext = aPacket.mSequence == aConnection.mReceiveNext && !aPacket.isInitialSyn();
    if (!isNext || aPacket.mAcknowledgement - sendNext - 1 < 0x7FFFFFFFU) {
      // Not acceptable: an ACK, with the last answer again (RFC 9293, section 3.10.7.4).
      return { segment(aPacket,
                       aConnection,
                       flow::kAck,
                       sendNext - static_cast<std::uint32_t>(aConnection.mLastAnswer),
                       aConnection.mLastAnswer) };
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
    aConnection.mSendNext += kAnswer;
    aConnection.mLastAnswer = kAnswer;
    return { segment(aPacket, aConnection, flow::kAck, sendNext, kAnswer) };
  }

  std::uint32_t mIndex;
  flow::Endpoint mService;
  std::uint32_t mOpened = 0;
  std::size_t mForeignPackets = 0;
  std::map<flow::Endpoint, Connection> mConnections;
  std::set<ByteId> mBytes;
};

} // namespace cornelcross::test
