#pragma once

#include "wire/forward.hpp"

#include <optional>
#include <vector>

namespace cornelcross::agent {

/// @brief Remembers how packets that were handed to the upstream had come here, so that one which
/// the upstream returns can go on along its candidates. Bounded: the oldest are forgotten first.
class ReturnablePackets
{
public:
  explicit ReturnablePackets(std::size_t aCapacity) : mEntries(aCapacity) {}

  /// @brief Remembers aForward, whose packet has been taken out. @return the tag that the packet is
  /// to carry
  std::uint32_t store(const wire::Forward& aForward);

  /// @brief What was remembered under a tag; empty if it was forgotten or taken before.
  std::optional<wire::Forward> take(std::uint32_t aTag);

private:
  struct Entry
  {
    std::uint32_t mTag = 0; ///< 0: none
    wire::Forward mForward;
  };

  std::vector<Entry> mEntries;
  std::uint32_t mLastTag = 0;
};

} // namespace cornelcross::agent
