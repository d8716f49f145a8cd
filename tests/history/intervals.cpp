#include "history/intervals.hpp"

#include "history/history.hpp"

namespace cornelcross::history {

std::vector<Interval> intervalsOf(const History& aHistory,
                                  const std::string& aEvent,
                                  const std::string& aName,
                                  const std::string& aState)
{
  std::vector<Interval> intervals;
  bool isIn = false;
  aHistory.each(aEvent, [&](const Record& aRecord) {
    if (aRecord.field("name") != aName) {
      return;
    }
    const bool entersState = aRecord.field("state") == aState;
    if (entersState && !isIn) {
      intervals.push_back({ aRecord.mTime, UINT64_MAX });
    } else if (!entersState && isIn) {
      intervals.back().mEnd = aRecord.mTime;
    }
    isIn = entersState;
  });
  return intervals;
}

} // namespace cornelcross::history
