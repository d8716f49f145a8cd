#pragma once

#include "tools/timeline/log_event.hpp"

namespace cornelcross::tools::timeline {

/// @brief Two events of different processes of which one happened before the other.
struct CausalPair
{
  std::size_t mCause = 0;  ///< index of the earlier event
  std::size_t mEffect = 0; ///< index of the later event

  auto operator<=>(const CausalPair&) const = default;
};

/// @brief Finds the pairs that the events show by their fields, as docs/EVENTS.md lists them.
/// A key that several causes share is ambiguous and gives no pair. @note O(events)
std::vector<CausalPair> findCausalPairs(const std::vector<LogEvent>& aEvents);

} // namespace cornelcross::tools::timeline
