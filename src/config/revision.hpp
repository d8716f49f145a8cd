#pragma once

#include <cstdint>

namespace cornelcross::config {

/// @brief Layout of a revision: the upper 20 bits hold the epoch of the configuration service, the
/// lower 44 bits its revision number within the epoch.
///
/// A service that returns from an older copy issues the numbers after the copy again and starts a
/// new epoch, so that revisions rise nevertheless. In the first epoch, epoch 0, a revision equals
/// its number; processes that predate epochs therefore order the same revisions alike.
inline constexpr unsigned kRevisionNumberBits = 44;
inline constexpr std::uint64_t kMaxRevisionNumber = (std::uint64_t{ 1 } << kRevisionNumberBits) - 1;
inline constexpr std::uint64_t kMaxEpoch = UINT64_MAX >> kRevisionNumberBits;

/// @brief Revision of a number in an epoch; the arguments are at most kMaxEpoch and
/// kMaxRevisionNumber.
constexpr std::uint64_t makeRevision(std::uint64_t aEpoch, std::uint64_t aNumber)
{
  return (aEpoch << kRevisionNumberBits) | aNumber;
}

/// @brief Epoch of a revision.
constexpr std::uint64_t epochOf(std::uint64_t aRevision)
{
  return aRevision >> kRevisionNumberBits;
}

/// @brief Number of a revision in its epoch.
constexpr std::uint64_t numberOf(std::uint64_t aRevision)
{
  return aRevision & kMaxRevisionNumber;
}

} // namespace cornelcross::config
