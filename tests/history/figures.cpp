#include "history/figures.hpp"

#include "history/checker.hpp"
#include "history/intervals.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace cornelcross::history {

namespace {

/// Highest value, in microseconds; empty without a value.
using Worst = std::optional<std::uint64_t>;

void raiseTo(Worst& aWorst, std::uint64_t aValue)
{
  aWorst = std::max(aWorst.value_or(0), aValue);
}

/// Raises aWorst to the time from the begin of each interval to aTime, if the interval contains
/// aTime.
void raiseWithin(Worst& aWorst, const std::vector<Interval>& aIntervals, std::uint64_t aTime)
{
  for (const Interval& interval : aIntervals) {
    if (interval.containsAfter(0, aTime)) {
      raiseTo(aWorst, aTime - interval.mBegin);
    }
  }
}

/// Initial value of a figure: 0 if the run contains a change to aState, else empty.
Worst initialWorst(const History& aHistory, const std::string& aEvent, const std::string& aState)
{
  Worst worst;
  aHistory.each(aEvent, [&](const Record& aRecord) {
    if (aRecord.field("state") == aState) {
      worst = 0;
    }
  });
  return worst;
}

Worst lastPacketIntoZone(const History& aHistory)
{
  Worst worst = initialWorst(aHistory, "zone", "out");
  aHistory.each("forwarded", [&](const Record& aRecord) {
    const auto node = aHistory.nodes().find(aRecord.field("to"));
    if (node != aHistory.nodes().end()) {
      raiseWithin(worst, intervalsOf(aHistory, "zone", node->second.mZone, "out"), aRecord.mTime);
    }
  });
  return worst;
}

Worst lastFlowAtLeaving(const History& aHistory)
{
  Worst worst = initialWorst(aHistory, "upstream", "leaving");
  aHistory.each("connection_accepted", [&](const Record& aRecord) {
    raiseWithin(
      worst, intervalsOf(aHistory, "upstream", aRecord.mProcess, "leaving"), aRecord.mTime);
  });
  return worst;
}

/// Longest time from the acceptance of a revision until a process applied the revision. The first
/// revision that a process applies after a start, stop or suspension does not count.
Worst lastApplication(const History& aHistory)
{
  Worst worst;
  std::set<std::string> seen;
  for (const Record& record : aHistory.records()) {
    if (record.mEvent == "process_started") {
      seen.erase(record.mProcess);
    } else if (record.mEvent == "run" && record.field("state") != "up") {
      seen.erase(record.field("name"));
    } else if (record.mEvent == "config_applied" && !seen.insert(record.mProcess).second) {
      raiseTo(worst, record.mTime - aHistory.acceptedAt(record.number("revision")));
    }
  }
  return worst;
}

void add(std::vector<Figure>& aFigures, Point aPoint, const Worst& aWorst)
{
  constexpr std::uint64_t kMillisecond = 1000; // microseconds
  if (aWorst) {
    aFigures.push_back({ aPoint, *aWorst / kMillisecond, kBound / kMillisecond, "ms" });
  }
}

} // namespace

std::vector<Figure> figures(const History& aHistory)
{
  std::vector<Figure> found;
  add(found, Point::kZoneOut, lastPacketIntoZone(aHistory));
  add(found, Point::kLeaving, lastFlowAtLeaving(aHistory));
  add(found, Point::kConfiguration, lastApplication(aHistory));
  return found;
}

} // namespace cornelcross::history
