#pragma once

#include "tools/timeline/log_event.hpp"

namespace cornelcross::tools::timeline {

/// @brief Two events of different processes, of which the first happened before the second.
struct CausalPair
{
  std::size_t mCause = 0;  ///< index of the earlier event
  std::size_t mEffect = 0; ///< index of the later event

  auto operator<=>(const CausalPair&) const = default;
};

/// @brief Finds the pairs of events whose fields imply an order, by the rules in docs/EVENTS.md.
/// A key that several causes share is ambiguous and yields no pair.
/// @note O(n) for n events
std::vector<CausalPair> findCausalPairs(const std::vector<LogEvent>& aEvents);

} // namespace cornelcross::tools::timeline
