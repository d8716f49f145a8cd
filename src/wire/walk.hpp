#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::wire {

/// @brief What a candidate does with a new flow.
enum class Round : std::uint8_t
{
  kBalance, ///< admits it only if the candidate is not above its share of the service's load
  kSettle,  ///< admits it within the candidate's limit, or holds it
};

/// @brief Position of no candidate.
inline constexpr std::uint8_t kNoCandidate = 255;

/// @brief Progress of a new flow along its candidates.
struct Walk
{
  Round mRound = Round::kBalance;
  std::uint8_t mBest = kNoCandidate; ///< eligible candidate with most room so far
  std::uint16_t mBestRoom = 0;       ///< requests that it could take

  auto operator<=>(const Walk&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto round = static_cast<std::uint8_t>(mRound);
    aArchive(round, mBest, mBestRoom);
    mRound = round == 0 ? Round::kBalance : Round::kSettle;
  }
};

} // namespace cornelcross::wire
