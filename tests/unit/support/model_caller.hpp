#pragma once

#include "unit/support/packets.hpp"

#include <optional>

namespace cornelcross::test {

/// @brief One connection of a caller: requests one after another, each retransmitted until it is
/// answered.
class ModelCaller
{
public:
  ModelCaller(flow::Endpoint aSelf, flow::Endpoint aService, std::uint32_t aInitial)
    : mSelf(aSelf), mService(aService), mInitial(aInitial), mSendNext(aInitial + 1)
  {
  }

  /// @brief What the caller sends now: its SYN, its open request, or nothing.
  std::optional<flow::Bytes> poll() const
  {
    if (mIsReset || mIsRefused) {
      return std::nullopt;
    }
    if (!mOwner) {
      return segment(flow::kSyn, mInitial, 0);
    }
    return mIsWaiting ? std::optional(segment(flow::kAck, mSendNext, kRequest)) : std::nullopt;
  }

  /// @brief Starts the next request if none is open.
  void request() { mIsWaiting = mIsWaiting || mOwner.has_value(); }

  /// @brief A bare ACK, as a keep-alive would send; only once established.
  flow::Bytes keepAlive() const { return segment(flow::kAck, mSendNext, 0); }

  /// @brief Handles a packet. @return an acknowledgement, if one is due
  std::optional<flow::Bytes> receive(const flow::Bytes& aPacket)
  {
    const auto packet = *flow::TcpPacket::parse(aPacket);
    if (mIsReset || mIsRefused) {
      return std::nullopt;
    }
    if (!mOwner) {
      return connect(packet);
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
    mSendNext += kRequest;
    mIsWaiting = false;
    ++mAnswers;
    return segment(flow::kAck, mSendNext, 0);
  }

  flow::Endpoint self() const { return mSelf; }
  std::optional<std::uint32_t> owner() const { return mOwner; }
  bool isReset() const { return mIsReset; }
  bool isWaiting() const { return mIsWaiting; }
  std::size_t answers() const { return mAnswers; }

private:
  static constexpr std::size_t kRequest = 20; // bytes

  std::optional<flow::Bytes> connect(const flow::TcpPacket& aPacket)
  {
    if (aPacket.mAcknowledgement != mInitial + 1) {
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

  flow::Bytes segment(std::uint8_t aFlags, std::uint32_t aSequence, std::size_t aPayload) const
  {
    return makePacket({ mSelf, mService, aFlags, aSequence, mReceiveNext, aPayload });
  }

  flow::Endpoint mSelf;
  flow::Endpoint mService;
  std::uint32_t mInitial;
  std::uint32_t mSendNext;
  std::uint32_t mReceiveNext = 0;
  std::optional<std::uint32_t> mOwner; ///< index of the upstream; set once established
  bool mIsWaiting = false;
  bool mIsReset = false;
  bool mIsRefused = false;
  std::size_t mAnswers = 0;
};

} // namespace cornelcross::test
