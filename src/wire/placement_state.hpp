#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::wire {

/// @brief What a candidate does with a new flow.
enum class PlacementRound : std::uint8_t
{
  kBoundedLoad,   ///< admits it only if the candidate is not above its share of the service's load
  kBestCandidate, ///< admits it within the candidate's limit, or holds it
};

/// @brief Position of no candidate.
inline constexpr std::uint8_t kNoCandidate = 255;

/// @brief Progress of a new flow along its candidates.
struct PlacementState
{
  PlacementRound mRound = PlacementRound::kBoundedLoad;
  std::uint8_t mBestCandidate = kNoCandidate; ///< eligible candidate with most room so far
  std::uint16_t mBestFreeCapacity = 0;        ///< requests that it could take

  auto operator<=>(const PlacementState&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    auto round = static_cast<std::uint8_t>(mRound);
    aArchive(round, mBestCandidate, mBestFreeCapacity);
    mRound = round == 0 ? PlacementRound::kBoundedLoad : PlacementRound::kBestCandidate;
  }
};

} // namespace cornelcross::wire
