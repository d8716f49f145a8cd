#pragma once

#include "tools/timeline/log_event.hpp"

#include <set>

namespace cornelcross::tools::timeline {

/// @brief Which events are shown. An empty set lets every value pass.
struct Filter
{
  std::set<std::string> mFlows; ///< "caller>service", or a caller alone
  std::set<std::string> mUpstreams;
  std::set<std::string> mZones;
  std::set<std::string> mKinds;
  std::set<std::string> mProcesses;
  std::optional<std::int64_t> mFrom; ///< microseconds since the epoch, inclusive
  std::optional<std::int64_t> mTo;   ///< microseconds since the epoch, inclusive

  auto operator<=>(const Filter&) const = default;
};

/// @brief Keeps the events that pass every condition.
///
/// An event belongs to an upstream that it names, or that its process is or serves; to a zone that
/// it names, or that its upstream lies in. Which upstream an agent serves and in which zone, its
/// "upstream_assigned" events say.
std::vector<LogEvent> applyFilter(const std::vector<LogEvent>& aEvents, const Filter& aFilter);

} // namespace cornelcross::tools::timeline
