#pragma once

#include "flow/endpoint.hpp"

namespace cornelcross::wire {

/// @brief Age that stands for "never read".
inline constexpr std::uint32_t kUnknownAge = 0xFFFFFFFFU;

/// @brief Tells a peer what the sender holds. The frame around it carries the sender's revision.
struct Heartbeat
{
  flow::Endpoint mSender;                  ///< where the sender answers pulls over TCP
  std::uint32_t mNonce = 0;                ///< chosen by the asker, repeated in the reply
  bool mWantsReply = false;                ///< the receiver answers with a heartbeat of its own
  bool mIsReply = false;                   ///< answers a heartbeat with this nonce
  bool mIsConfirmed = false;               ///< the sender's own revision has been confirmed
  std::uint32_t mServiceAge = kUnknownAge; ///< ms since the configuration service was last read
                                           ///< by any process that the sender heard of

  auto operator<=>(const Heartbeat&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSender, mNonce, mWantsReply, mIsReply, mIsConfirmed, mServiceAge);
  }
};

} // namespace cornelcross::wire
