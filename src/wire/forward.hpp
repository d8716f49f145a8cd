#pragma once

#include "flow/packet_edit.hpp"
#include "wire/ownership_query.hpp"
#include "wire/placement_state.hpp"

namespace cornelcross::wire {

/// @brief Page number before the first page: the balancer listed only the likely owner.
inline constexpr std::uint16_t kNoPage = 0xFFFF;

/// @brief Forwards a packet of a caller along the list of candidates for its flow.
struct Forward
{
  flow::Endpoint mIngress;            ///< balancer that received the packet; empty if unknown
  std::uint64_t mService = 0;         ///< hash of the service's name; 0 if several may own the flow
  std::uint8_t mCandidateIndex = 0;   ///< index of the receiver in mCandidates
  std::uint16_t mPage = 0;            ///< number of this page of the list of candidates
  std::uint64_t mCandidateDigest = 0; ///< routing::candidateDigest() of the sender; 0 if uncertain
  std::uint8_t mRestartCount = 0;     ///< times that an agent restarted with its own list
  /// An agent listed the candidates. Of a SYN: the balancer hedges connection attempts and asks the
  /// agent that admits the flow for an owner update.
  bool mIsListFromAgent = false;
  bool mIsLastPage = false;   ///< no page of candidates follows
  bool mIsDeniedByAll = true; ///< all visited candidates denied the flow
  bool mIsCopy = false; ///< copy for one suspected agent; the original continues along the list
  /// Of a SYN: agents that received it. Of another packet: upstreams that the packet has reached or
  /// may reach in search of its owner; a balancer that only assumes the owner counts its agent.
  std::uint8_t mHops = 0;
  PlacementState mPlacement; ///< progress of the placement; used only for a SYN
  OwnershipQuery mOwnershipQuery = OwnershipQuery::kNone; ///< purpose of the message
  std::vector<flow::Endpoint> mPossibleOwners; ///< visited agents whose upstream may own the flow
  std::vector<flow::Endpoint> mCandidates;     ///< agents on this page, most likely owner first
  flow::Bytes mPacket;                         ///< IP packet of the caller, unchanged

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

/// @brief Maximum number of candidates in a Forward.
inline constexpr std::size_t kMaxCandidates = 16;

/// @brief Upper bound on the size of a frame with a Forward, without the packet.
inline constexpr std::size_t kMaxForwardHeaderBytes = 512;

} // namespace cornelcross::wire
