#pragma once

#include "wire/walk.hpp"

#include <variant>

namespace cornelcross::admission {

/// @brief What the candidate that is being asked could do.
struct Offer
{
  bool mIsEligible = false;   ///< the configuration lets it take new flows
  bool mIsBelowBound = false; ///< its load is within its share
  std::uint16_t mRoom = 0;    ///< requests that it could take now

  auto operator<=>(const Offer&) const = default;
};

/// @brief Deliver the flow to this candidate's upstream.
struct Admit
{
  auto operator<=>(const Admit&) const = default;
};

/// @brief Keep the flow until this candidate has room.
struct Hold
{
  auto operator<=>(const Hold&) const = default;
};

/// @brief No candidate may take the flow.
struct Refuse
{
  auto operator<=>(const Refuse&) const = default;
};

/// @brief Let another candidate decide.
struct PassTo
{
  std::uint8_t mPosition = 0;
  wire::Walk mWalk;

  auto operator<=>(const PassTo&) const = default;
};

/// @brief Outcome of one step.
using Step = std::variant<Admit, Hold, Refuse, PassTo>;

/// @brief Decides what the candidate at aPosition of aCount does with a new flow.
Step decide(const wire::Walk& aWalk,
            std::uint8_t aPosition,
            std::uint8_t aCount,
            const Offer& aOffer);

} // namespace cornelcross::admission
