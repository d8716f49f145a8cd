#include "tools/timeline/filter.hpp"

#include <map>

namespace cornelcross::tools::timeline {

namespace {

bool matches(const std::set<std::string>& aWanted, const std::string& aValue)
{
  return aWanted.empty() || aWanted.count(aValue) != 0;
}

bool matchesFlow(const Filter& aFilter, const LogEvent& aEvent)
{
  if (aFilter.mFlows.empty()) {
    return true;
  }
  const std::string flow = aEvent.flow();
  return !flow.empty() && (aFilter.mFlows.count(flow) != 0 ||
                           aFilter.mFlows.count(flow.substr(0, flow.find('>'))) != 0);
}

bool matchesTime(const Filter& aFilter, const LogEvent& aEvent)
{
  return (!aFilter.mFromUs || aEvent.mTimeUs >= *aFilter.mFromUs) &&
         (!aFilter.mToUs || aEvent.mTimeUs <= *aFilter.mToUs);
}

/// Upstreams of agents and zones of upstreams, as recorded from "upstream_assigned" events.
class Locations
{
public:
  void record(const LogEvent& aEvent)
  {
    const std::string* upstream = aEvent.field("upstream");
    const std::string* zone = aEvent.field("zone");
    if (aEvent.mKind == "upstream_assigned" && upstream != nullptr && zone != nullptr) {
      mUpstreamOf[aEvent.mProcess] = *upstream;
      mZoneOf[*upstream] = *zone;
    }
  }

  std::string upstreamOf(const LogEvent& aEvent) const
  {
    if (const std::string* named = aEvent.field("upstream")) {
      return *named;
    }
    const auto found = mUpstreamOf.find(aEvent.mProcess);
    return found == mUpstreamOf.end() ? aEvent.mProcess : found->second;
  }

  std::string zoneOf(const LogEvent& aEvent) const
  {
    if (const std::string* named = aEvent.field("zone")) {
      return *named;
    }
    const auto found = mZoneOf.find(upstreamOf(aEvent));
    return found == mZoneOf.end() ? std::string() : found->second;
  }

private:
  std::map<std::string, std::string> mUpstreamOf; ///< by process
  std::map<std::string, std::string> mZoneOf;     ///< by upstream
};

} // namespace

std::vector<LogEvent> applyFilter(const std::vector<LogEvent>& aEvents, const Filter& aFilter)
{
  // An agent may log events before its upstream is assigned, so all assignments are recorded first.
  Locations locations;
  for (const LogEvent& event : aEvents) {
    locations.record(event);
  }
  std::vector<LogEvent> matching;
  for (const LogEvent& event : aEvents) {
    if (matches(aFilter.mKinds, event.mKind) && matches(aFilter.mProcesses, event.mProcess) &&
        matches(aFilter.mUpstreams, locations.upstreamOf(event)) &&
        matches(aFilter.mZones, locations.zoneOf(event)) && matchesFlow(aFilter, event) &&
        matchesTime(aFilter, event)) {
      matching.push_back(event);
    }
  }
  return matching;
}

} // namespace cornelcross::tools::timeline
