#pragma once

#include "flow/packet_edit.hpp"
#include "wire/inquiry.hpp"
#include "wire/walk.hpp"

namespace cornelcross::wire {

/// @brief Chunk before the first one: the balancer named the likely owner alone.
inline constexpr std::uint16_t kNoChunk = 0xFFFF;

/// @brief Passes a caller's packet along the candidates for its flow.
struct Forward
{
  flow::Endpoint mIngress;                 ///< balancer that received the packet; empty if unknown
  std::uint64_t mService = 0;              ///< hash of the service's name
  std::uint8_t mPosition = 0;              ///< index of the receiver in mCandidates
  std::uint16_t mChunk = 0;                ///< index of these candidates among all that are listed
  std::uint64_t mListing = 0;              ///< routing::listing() of the sender; 0 if uncertain
  std::uint8_t mRelisted = 0;              ///< times that an agent began anew with its own listing
  bool mIsListedByAgent = false;           ///< the candidates, not by the balancer
  bool mIsComplete = false;                ///< no chunk of candidates follows this one
  bool mIsUnanimous = true;                ///< every candidate asked so far denied the flow
  bool mIsCopy = false;                    ///< for a suspect alone; the chain goes on without it
  std::uint8_t mHops = 0;                  ///< agents that were handed it; for a SYN only
  Walk mWalk;                              ///< where the flow may open; for a SYN only
  Inquiry mInquiry = Inquiry::kNone;       ///< why the receiver gets the packet
  std::vector<flow::Endpoint> mUnsure;     ///< asked agents whose upstream may own the flow
  std::vector<flow::Endpoint> mCandidates; ///< agents, most likely owner first
  flow::Bytes mPacket;                     ///< the IP packet, unchanged

  auto operator<=>(const Forward&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIngress,
             mService,
             mPosition,
             mChunk,
             mListing,
             mRelisted,
             mIsListedByAgent,
             mIsComplete,
             mIsUnanimous,
             mIsCopy,
             mHops,
             mWalk,
             mInquiry,
             mUnsure,
             mCandidates);
  }
};

/// @brief Number of candidates that a Forward may carry.
inline constexpr std::size_t kMaxCandidates = 16;

/// @brief Bytes of a frame with a Forward beyond its packet, at most.
inline constexpr std::size_t kMaxForwardHeader = 512;

} // namespace cornelcross::wire
