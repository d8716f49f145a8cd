#include "tools/timeline/filter.hpp"

#include <map>

namespace cornelcross::tools::timeline {

namespace {

bool passes(const std::set<std::string>& aWanted, const std::string& aValue)
{
  return aWanted.empty() || aWanted.count(aValue) != 0;
}

bool passesFlow(const Filter& aFilter, const LogEvent& aEvent)
{
  if (aFilter.mFlows.empty()) {
    return true;
  }
  const std::string flow = aEvent.flow();
  return !flow.empty() && (aFilter.mFlows.count(flow) != 0 ||
                           aFilter.mFlows.count(flow.substr(0, flow.find('>'))) != 0);
}

bool passesTime(const Filter& aFilter, const LogEvent& aEvent)
{
  return (!aFilter.mFrom || aEvent.mTime >= *aFilter.mFrom) &&
         (!aFilter.mTo || aEvent.mTime <= *aFilter.mTo);
}

/// What is known so far of where agents and upstreams belong.
class Places
{
public:
  void learn(const LogEvent& aEvent)
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
  // An agent may log before it learns its place: all places first.
  Places places;
  for (const LogEvent& event : aEvents) {
    places.learn(event);
  }
  std::vector<LogEvent> kept;
  for (const LogEvent& event : aEvents) {
    if (passes(aFilter.mKinds, event.mKind) && passes(aFilter.mProcesses, event.mProcess) &&
        passes(aFilter.mUpstreams, places.upstreamOf(event)) &&
        passes(aFilter.mZones, places.zoneOf(event)) && passesFlow(aFilter, event) &&
        passesTime(aFilter, event)) {
      kept.push_back(event);
    }
  }
  return kept;
}

} // namespace cornelcross::tools::timeline
