#pragma once

#include "flow/packet_edit.hpp"
#include "wire/walk.hpp"

namespace cornelcross::wire {

/// @brief Passes a caller's packet along the candidates for its flow.
struct Forward
{
  flow::Endpoint mIngress;                 ///< balancer that received the packet; empty if unknown
  std::uint64_t mService = 0;              ///< hash of the service's name
  std::uint8_t mPosition = 0;              ///< index of the receiver in mCandidates
  bool mIsComplete = false;                ///< the candidates are all the upstreams of the service
  bool mIsUnanimous = true;                ///< every candidate before mPosition denied the flow
  Walk mWalk;                              ///< where the flow may open; for a SYN only
  std::vector<flow::Endpoint> mCandidates; ///< agents, most likely owner first
  flow::Bytes mPacket;                     ///< the IP packet, unchanged

  auto operator<=>(const Forward&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIngress, mService, mPosition, mIsComplete, mIsUnanimous, mWalk, mCandidates);
  }
};

/// @brief Number of candidates that a Forward may carry.
inline constexpr std::size_t kMaxCandidates = 16;

} // namespace cornelcross::wire
