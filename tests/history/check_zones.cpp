#include "history/checker.hpp"
#include "history/intervals.hpp"
#include "history/rules.hpp"

namespace cornelcross::history {

void checkZones(const History& aHistory, Violations& aFound)
{
  aHistory.each("forwarded", [&](const Record& aRecord) {
    const auto node = aHistory.nodes().find(aRecord.field("to"));
    if (node == aHistory.nodes().end()) {
      return;
    }
    for (const Interval& out : intervalsOf(aHistory, "zone", node->second.mZone, "out")) {
      if (out.containsAfter(kBound, aRecord.mTime)) {
        aFound.push_back({ Point::kZoneOut,
                           aRecord.mTime,
                           aRecord.field("from") + " sent a packet to " + aRecord.field("to") +
                             " " + std::to_string((aRecord.mTime - out.mBegin) / 1000) +
                             " ms after the zone was taken out of service" });
      }
    }
  });
}

void checkLeaving(const History& aHistory, Violations& aFound)
{
  aHistory.each("connection_accepted", [&](const Record& aRecord) {
    for (const char* state : { "leaving", "removed" }) {
      for (const Interval& interval : intervalsOf(aHistory, "upstream", aRecord.mProcess, state)) {
        if (interval.containsAfter(kBound, aRecord.mTime)) {
          aFound.push_back({ Point::kLeaving,
                             aRecord.mTime,
                             aRecord.mProcess + " received a new flow from " +
                               aRecord.field("caller") + " while " + state });
        }
      }
    }
  });
}

} // namespace cornelcross::history
