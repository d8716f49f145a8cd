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
                             " ms after its zone was taken out" });
      }
    }
  });
}

void checkLeaving(const History& aHistory, Violations& aFound)
{
  aHistory.each("connection_accepted", [&](const Record& aRecord) {
    for (const char* state : { "leaving", "removed" }) {
      for (const Interval& span : intervalsOf(aHistory, "upstream", aRecord.mProcess, state)) {
        if (span.containsAfter(kBound, aRecord.mTime)) {
          aFound.push_back({ Point::kLeaving,
                             aRecord.mTime,
                             aRecord.mProcess + " got a new flow from " + aRecord.field("caller") +
                               " while " + state });
        }
      }
    }
  });
}

} // namespace cornelcross::history
