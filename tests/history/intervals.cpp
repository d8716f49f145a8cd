#include "history/intervals.hpp"

#include "history/history.hpp"

namespace cornelcross::history {

namespace {

/// Time from which the state of a record counts.
std::uint64_t effectTime(const History& aHistory, const Record& aRecord)
{
  const std::uint64_t revision = aRecord.number("revision");
  return revision == 0 ? aRecord.mTime : aHistory.acceptedAt(revision);
}

} // namespace

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
      intervals.push_back({ effectTime(aHistory, aRecord), UINT64_MAX });
    } else if (!entersState && isIn) {
      intervals.back().mEnd = aRecord.mTime;
    }
    isIn = entersState;
  });
  return intervals;
}

} // namespace cornelcross::history
