#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::wire {

/// @brief Rule by which a candidate admits a new flow.
enum class PlacementRound : std::uint8_t
{
  /// The candidate admits the flow only if its load is within its share of the load of the service.
  kBoundedLoad,

  /// The candidate admits the flow within its limit, or queues the flow.
  kBestCandidate,
};

/// @brief Candidate index that stands for no candidate.
inline constexpr std::uint8_t kNoCandidate = 255;

/// @brief Progress of the placement of a new flow on one of its candidates.
struct PlacementState
{
  PlacementRound mRound = PlacementRound::kBoundedLoad;
  std::uint8_t mBestCandidate =
    kNoCandidate; ///< index of the eligible candidate with the most free capacity so far
  std::uint16_t mBestFreeCapacity = 0; ///< number of requests that mBestCandidate could admit

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
