#pragma once

#include "flow/endpoint.hpp"

namespace cornelcross::wire {

/// @brief Value of Heartbeat::mServiceAgeMs if the configuration service was never read.
inline constexpr std::uint32_t kUnknownAgeMs = 0xFFFFFFFFU;

/// @brief Reports the state of the sender to a peer. The enclosing frame contains the active
/// revision of the sender.
struct Heartbeat
{
  flow::Endpoint mSender;         ///< endpoint at which the sender replies to pulls over TCP
  std::uint32_t mNonce = 0;       ///< chosen by the querying peer; the reply repeats the value
  bool mIsReplyRequested = false; ///< the receiver replies with a heartbeat of its own
  bool mIsReply = false;          ///< replies to a heartbeat with the same nonce
  bool mIsConfirmed = false;      ///< the revision of the sender is confirmed

  /// Time since the last read of the configuration service by the sender or by any process whose
  /// reads were reported to the sender.
  std::uint32_t mServiceAgeMs = kUnknownAgeMs;

  auto operator<=>(const Heartbeat&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSender, mNonce, mIsReplyRequested, mIsReply, mIsConfirmed, mServiceAgeMs);
  }
};

} // namespace cornelcross::wire
