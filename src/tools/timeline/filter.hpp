#pragma once

#include "tools/timeline/log_event.hpp"

#include <set>

namespace cornelcross::tools::timeline {

/// @brief Conditions on events. An empty set matches every value.
struct Filter
{
  std::set<std::string> mFlows; ///< "caller>service", or "caller" for all its flows
  std::set<std::string> mUpstreams;
  std::set<std::string> mZones;
  std::set<std::string> mKinds;
  std::set<std::string> mProcesses;
  std::optional<std::int64_t> mFromUs; ///< microseconds since the epoch, inclusive
  std::optional<std::int64_t> mToUs;   ///< microseconds since the epoch, inclusive

  auto operator<=>(const Filter&) const = default;
};

/// @brief Selects the events that match every condition.
///
/// The upstream of an event is the value of the "upstream" field or, without that field, the
/// upstream that the process is or serves. The zone of an event is the value of the "zone" field
/// or, without that field, the zone of the event's upstream. The "upstream_assigned" events of an
/// agent name the agent's upstream and zone.
std::vector<LogEvent> applyFilter(const std::vector<LogEvent>& aEvents, const Filter& aFilter);

} // namespace cornelcross::tools::timeline
