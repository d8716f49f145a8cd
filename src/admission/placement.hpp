#pragma once

#include "wire/placement_state.hpp"

#include <variant>

namespace cornelcross::admission {

/// @brief What the candidate that is being asked could do.
struct CandidateState
{
  bool mIsEligible = false;        ///< the configuration lets it take new flows
  bool mIsWithinLoadBound = false; ///< its load is within its share
  std::uint16_t mFreeCapacity = 0; ///< requests that it could take now

  auto operator<=>(const CandidateState&) const = default;
};

/// @brief Deliver the flow to this candidate's upstream.
struct Admit
{
  auto operator<=>(const Admit&) const = default;
};

/// @brief Keep the flow until this candidate has room.
struct Enqueue
{
  auto operator<=>(const Enqueue&) const = default;
};

/// @brief No candidate may take the flow.
struct Refuse
{
  auto operator<=>(const Refuse&) const = default;
};

/// @brief Let another candidate decide.
struct ForwardTo
{
  std::uint8_t mCandidateIndex = 0;
  wire::PlacementState mPlacement;

  auto operator<=>(const ForwardTo&) const = default;
};

/// @brief Outcome of one step.
using PlacementDecision = std::variant<Admit, Enqueue, Refuse, ForwardTo>;

/// @brief Decides what the candidate at aPosition of aCount does with a new flow.
PlacementDecision decidePlacement(const wire::PlacementState& aWalk,
                                  std::uint8_t aPosition,
                                  std::uint8_t aCount,
                                  const CandidateState& aOffer);

} // namespace cornelcross::admission
