#pragma once

#include "wire/placement_state.hpp"

#include <variant>

namespace cornelcross::admission {

/// @brief State of the visited candidate with regard to a new flow.
struct CandidateState
{
  bool mIsEligible = false;        ///< the upstream may receive new flows
  bool mIsWithinLoadBound = false; ///< one more request stays within the fair share of load
  std::uint16_t mFreeCapacity = 0; ///< further requests that the upstream can start now

  auto operator<=>(const CandidateState&) const = default;
};

/// @brief Decision to deliver the flow to the upstream of the visited candidate.
struct Admit
{
  auto operator<=>(const Admit&) const = default;
};

/// @brief Decision to queue the flow until the visited candidate has free capacity.
struct Enqueue
{
  auto operator<=>(const Enqueue&) const = default;
};

/// @brief Decision to place the flow on none of the listed candidates.
struct Refuse
{
  auto operator<=>(const Refuse&) const = default;
};

/// @brief Decision to forward the flow to another candidate, which decides in turn.
struct ForwardTo
{
  std::uint8_t mCandidateIndex = 0; ///< index of the next candidate
  wire::PlacementState mPlacement;

  auto operator<=>(const ForwardTo&) const = default;
};

/// @brief Outcome of decidePlacement().
using PlacementDecision = std::variant<Admit, Enqueue, Refuse, ForwardTo>;

/// @brief Decides whether the visited candidate admits, queues, forwards or refuses a new flow.
///
/// In round kBoundedLoad a candidate admits the flow if its load is within the bound; otherwise the
/// flow visits the next candidate. In round kBestCandidate the candidate with most free capacity
/// admits or queues the flow.
/// @param aPlacement      state that the packet carries along the candidates
/// @param aCandidateIndex index of the visited candidate
/// @param aCandidateCount number of candidates
/// @param aState          state of the visited candidate
PlacementDecision decidePlacement(const wire::PlacementState& aPlacement,
                                  std::uint8_t aCandidateIndex,
                                  std::uint8_t aCandidateCount,
                                  const CandidateState& aState);

} // namespace cornelcross::admission
