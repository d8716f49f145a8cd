#pragma once

#include "flow/endpoint.hpp"

namespace cornelcross::wire {

/// @brief Age that stands for "never read".
inline constexpr std::uint32_t kUnknownAgeMs = 0xFFFFFFFFU;

/// @brief Tells a peer what the sender holds. The frame around it carries the sender's revision.
struct Heartbeat
{
  flow::Endpoint mSender;                      ///< where the sender answers pulls over TCP
  std::uint32_t mNonce = 0;                    ///< chosen by the asker, repeated in the reply
  bool mIsReplyRequested = false;              ///< the receiver answers with a heartbeat of its own
  bool mIsReply = false;                       ///< answers a heartbeat with this nonce
  bool mIsConfirmed = false;                   ///< the sender's own revision has been confirmed
  std::uint32_t mServiceAgeMs = kUnknownAgeMs; ///< ms since the configuration service was last read
                                               ///< by any process that the sender heard of

  auto operator<=>(const Heartbeat&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSender, mNonce, mIsReplyRequested, mIsReply, mIsConfirmed, mServiceAgeMs);
  }
};

} // namespace cornelcross::wire
