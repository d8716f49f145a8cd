#pragma once

#include "unit/support/packets.hpp"

#include <optional>

namespace cornelcross::test {

/// @brief Model of a caller with one connection. The caller sends one request at a time and
/// retransmits the request until a response arrives.
class ModelCaller
{
public:
  ModelCaller(flow::Endpoint aSelf, flow::Endpoint aService, std::uint32_t aInitialSequence)
    : mSelf(aSelf)
    , mService(aService)
    , mInitialSequence(aInitialSequence)
    , mSendNext(aInitialSequence + 1)
  {
  }

  /// @brief Packet to send or retransmit now: the SYN until the connection is established, then the
  /// open request. @return std::nullopt if nothing is to be sent
  std::optional<flow::Bytes> poll() const
  {
    if (mIsReset || mIsRefused) {
      return std::nullopt;
    }
    if (!mOwner) {
      return segment(flow::kSyn, mInitialSequence, 0);
    }
    return mIsRequestOpen ? std::optional(segment(flow::kAck, mSendNext, kRequestBytes))
                          : std::nullopt;
  }

  /// @brief Starts the next request unless a request is open or the connection is not established.
  void startRequest() { mIsRequestOpen = mIsRequestOpen || mOwner.has_value(); }

  /// @brief Builds an ACK without data, as a keep-alive sends. Requires an established connection.
  flow::Bytes keepAlive() const { return segment(flow::kAck, mSendNext, 0); }

  /// @brief Handles a received packet. @return the acknowledgement to send, if any
  std::optional<flow::Bytes> receive(const flow::Bytes& aPacket)
  {
    const auto packet = *flow::TcpPacket::parse(aPacket);
    if (mIsReset || mIsRefused) {
      return std::nullopt;
    }
    if (!mOwner) {
      return handleHandshake(packet);
    }
    if (packet.has(flow::kRst)) {
      mIsReset = mIsReset || packet.mSequence == mReceiveNext; // RFC 5961, section 3.2
      return std::nullopt;
    }
    if (packet.mPayloadLength == 0 || packet.mSequence != mReceiveNext) {
      return packet.has(flow::kSyn) ? std::optional(segment(flow::kAck, mSendNext, 0))
                                    : std::nullopt;
    }
    mReceiveNext += packet.mPayloadLength;
    mSendNext += kRequestBytes;
    mIsRequestOpen = false;
    ++mResponses;
    return segment(flow::kAck, mSendNext, 0);
  }

  flow::Endpoint self() const { return mSelf; }
  std::optional<std::uint32_t> owner() const { return mOwner; }
  bool isReset() const { return mIsReset; }
  bool isRequestOpen() const { return mIsRequestOpen; }
  std::size_t responses() const { return mResponses; }

private:
  static constexpr std::size_t kRequestBytes = 20;

  std::optional<flow::Bytes> handleHandshake(const flow::TcpPacket& aPacket)
  {
    if (aPacket.mAcknowledgement != mInitialSequence + 1) {
      return std::nullopt;
    }
    if (aPacket.has(flow::kRst)) {
      mIsRefused = true;
      return std::nullopt;
    }
    if (!aPacket.has(flow::kSyn)) {
      return std::nullopt;
    }
    mOwner = aPacket.mSequence & 0xFU;
    mReceiveNext = aPacket.mSequence + 1;
    return segment(flow::kAck, mSendNext, 0);
  }

  flow::Bytes segment(std::uint8_t aFlags, std::uint32_t aSequence, std::size_t aPayloadBytes) const
  {
    return makePacket({ mSelf, mService, aFlags, aSequence, mReceiveNext, aPayloadBytes });
  }

  flow::Endpoint mSelf;
  flow::Endpoint mService;
  std::uint32_t mInitialSequence;
  std::uint32_t mSendNext;
  std::uint32_t mReceiveNext = 0;
  std::optional<std::uint32_t> mOwner; ///< index of the upstream; unset until established
  bool mIsRequestOpen = false;
  bool mIsReset = false;
  bool mIsRefused = false;
  std::size_t mResponses = 0;
};

} // namespace cornelcross::test
