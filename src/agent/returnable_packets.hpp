#pragma once

#include "wire/forward.hpp"

#include <optional>
#include <vector>

namespace cornelcross::agent {

/// @brief Stores the Forward headers of packets that were delivered to the upstream, so that a
/// packet which the upstream returns can be forwarded to its next candidate. Bounded: a new entry
/// overwrites the oldest.
class ReturnablePackets
{
public:
  explicit ReturnablePackets(std::size_t aCapacity) : mEntries(aCapacity) {}

  /// @brief Stores aForward, from which the packet has been moved.
  /// @return tag that the packet has to carry
  std::uint32_t store(const wire::Forward& aForward);

  /// @brief Removes and returns the Forward of a tag. Empty if the entry was overwritten or taken
  /// before.
  std::optional<wire::Forward> take(std::uint32_t aTag);

private:
  struct Entry
  {
    std::uint32_t mTag = 0; ///< 0 if the entry is empty
    wire::Forward mForward;
  };

  std::vector<Entry> mEntries;
  std::uint32_t mLastTag = 0;
};

} // namespace cornelcross::agent
