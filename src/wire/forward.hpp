#pragma once

#include "flow/packet_edit.hpp"
#include "wire/ownership_query.hpp"
#include "wire/placement_state.hpp"

namespace cornelcross::wire {

/// @brief Chunk before the first one: the balancer named the likely owner alone.
inline constexpr std::uint16_t kNoPage = 0xFFFF;

/// @brief Passes a caller's packet along the candidates for its flow.
struct Forward
{
  flow::Endpoint mIngress;            ///< balancer that received the packet; empty if unknown
  std::uint64_t mService = 0;         ///< hash of the service's name
  std::uint8_t mCandidateIndex = 0;   ///< index of the receiver in mCandidates
  std::uint16_t mPage = 0;            ///< index of these candidates among all that are listed
  std::uint64_t mCandidateDigest = 0; ///< routing::candidateDigest() of the sender; 0 if uncertain
  std::uint8_t mRestartCount = 0;     ///< times that an agent began anew with its own listing
  bool mIsListFromAgent = false;      ///< the candidates, not by the balancer
  bool mIsLastPage = false;           ///< no chunk of candidates follows this one
  bool mIsDeniedByAll = true;         ///< every candidate asked so far denied the flow
  bool mIsCopy = false;               ///< for a suspect alone; the chain goes on without it
  std::uint8_t mHops = 0;             ///< agents that were handed it; for a SYN only
  PlacementState mPlacement;          ///< where the flow may open; for a SYN only
  OwnershipQuery mOwnershipQuery = OwnershipQuery::kNone; ///< why the receiver gets the packet
  std::vector<flow::Endpoint> mPossibleOwners; ///< asked agents whose upstream may own the flow
  std::vector<flow::Endpoint> mCandidates;     ///< agents, most likely owner first
  flow::Bytes mPacket;                         ///< the IP packet, unchanged

  auto operator<=>(const Forward&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIngress,
             mService,
             mCandidateIndex,
             mPage,
             mCandidateDigest,
             mRestartCount,
             mIsListFromAgent,
             mIsLastPage,
             mIsDeniedByAll,
             mIsCopy,
             mHops,
             mPlacement,
             mOwnershipQuery,
             mPossibleOwners,
             mCandidates);
  }
};

/// @brief Number of candidates that a Forward may carry.
inline constexpr std::size_t kMaxCandidates = 16;

/// @brief Bytes of a frame with a Forward beyond its packet, at most.
inline constexpr std::size_t kMaxForwardHeaderBytes = 512;

} // namespace cornelcross::wire
