#pragma once

#include <cstdint>

namespace cornelcross::config {

/// @brief Layout of a revision: the upper 20 bits hold the epoch of the configuration service, the
/// lower 44 bits its revision number within the epoch.
///
/// A service that returns from an older copy issues the numbers after the copy again and starts two
/// new epochs, so that revisions rise nevertheless: an odd one while its writers write again what
/// the copy lacks, then an even one. Numbers rise over both. In the first epoch, epoch 0, a
/// revision equals its number; processes that predate epochs therefore order the same revisions
/// alike.
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

/// @brief Number of times that the service had returned from an older copy before an epoch.
constexpr std::uint64_t restoresOf(std::uint64_t aEpoch)
{
  return (aEpoch + 1) / 2;
}

/// @brief True if the service wrote a document of revision aLeft before one of aRight, whichever
/// epochs of one return they were read in.
constexpr bool isWrittenBefore(std::uint64_t aLeft, std::uint64_t aRight)
{
  const std::uint64_t left = restoresOf(epochOf(aLeft));
  const std::uint64_t right = restoresOf(epochOf(aRight));
  if (left != right) {
    return left < right;
  }
  return numberOf(aLeft) != numberOf(aRight) ? numberOf(aLeft) < numberOf(aRight) : aLeft < aRight;
}

} // namespace cornelcross::config
