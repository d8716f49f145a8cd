#include "history/checker.hpp"
#include "history/intervals.hpp"
#include "history/rules.hpp"

#include <algorithm>

namespace cornelcross::history {

namespace {

/// A revision that a process applied.
struct Applied
{
  std::uint64_t mTime = 0;
  std::uint64_t mRevision = 0;
};

/// Applied revisions by process, ordered by time.
using AppliedBy = std::map<std::string, std::vector<Applied>>;

AppliedBy collect(const History& aHistory)
{
  AppliedBy applied;
  aHistory.each("config_applied", [&](const Record& aRecord) {
    if (aHistory.nodes().count(aRecord.mProcess) != 0) {
      applied[aRecord.mProcess].push_back({ aRecord.mTime, aRecord.number("revision") });
    }
  });
  return applied;
}

/// Time at which the first process applied each revision.
std::map<std::uint64_t, std::uint64_t> firstApplications(const AppliedBy& aApplied)
{
  std::map<std::uint64_t, std::uint64_t> first;
  for (const auto& [process, steps] : aApplied) {
    for (const Applied& step : steps) {
      const auto found = first.emplace(step.mRevision, step.mTime).first;
      found->second = std::min(found->second, step.mTime);
    }
  }
  return first;
}

/// Highest revision that every process must have applied before aTime, because some process had
/// applied the revision more than kBound earlier.
std::uint64_t settledRevisionBefore(const std::map<std::uint64_t, std::uint64_t>& aAccepted,
                                    std::uint64_t aTime)
{
  std::uint64_t settled = 0;
  for (const auto& [revision, time] : aAccepted) {
    settled = time + kBound < aTime ? std::max(settled, revision) : settled;
  }
  return settled;
}

bool hasStarted(const History& aHistory,
                const std::string& aProcess,
                std::uint64_t aAfter,
                std::uint64_t aBefore)
{
  bool found = false;
  aHistory.each("process_started", [&](const Record& aRecord) {
    found =
      found || (aRecord.mProcess == aProcess && aRecord.mTime > aAfter && aRecord.mTime <= aBefore);
  });
  return found;
}

void checkRevisionsIncrease(const History& aHistory,
                            const std::string& aProcess,
                            const std::vector<Applied>& aSteps,
                            const std::map<std::uint64_t, std::uint64_t>& aAccepted,
                            Violations& aFound)
{
  Applied last;
  for (const Applied& step : aSteps) {
    // A process that restarts may begin with a lower revision than before, but not with a revision
    // that was superseded in every process.
    const bool isStart = hasStarted(aHistory, aProcess, last.mTime, step.mTime);
    const std::uint64_t least =
      isStart ? settledRevisionBefore(aAccepted, step.mTime) : last.mRevision;
    if (step.mRevision < least) {
      aFound.push_back({ Point::kConfiguration,
                         step.mTime,
                         aProcess + " reverted to revision " + std::to_string(step.mRevision) +
                           " from " + std::to_string(least) });
    }
    last = step;
  }
}

/// True if the process was running, and not suspended, from aFrom to aTo.
bool isUp(const History& aHistory,
          const std::string& aProcess,
          std::uint64_t aFrom,
          std::uint64_t aTo)
{
  const auto intervals = intervalsOf(aHistory, "run", aProcess, "up");
  return std::any_of(intervals.begin(), intervals.end(), [&](const Interval& aInterval) {
    return aInterval.mBegin <= aFrom && aInterval.mEnd >= aTo;
  });
}

/// Start of the interval around aTime during which the process is up; 0 if the process is down or
/// suspended at aTime.
std::uint64_t upSince(const History& aHistory, const std::string& aProcess, std::uint64_t aTime)
{
  for (const Interval& interval : intervalsOf(aHistory, "run", aProcess, "up")) {
    if (interval.mBegin <= aTime && aTime < interval.mEnd) {
      return interval.mBegin;
    }
  }
  return 0;
}

bool hasAppliedBy(const std::vector<Applied>& aSteps,
                  std::uint64_t aRevision,
                  std::uint64_t aDeadline)
{
  return std::any_of(aSteps.begin(), aSteps.end(), [&](const Applied& aStep) {
    return aStep.mRevision >= aRevision && aStep.mTime <= aDeadline;
  });
}

} // namespace

void checkConfiguration(const History& aHistory, Violations& aFound)
{
  const AppliedBy applied = collect(aHistory);
  const auto accepted = firstApplications(applied);
  for (const auto& [process, steps] : applied) {
    checkRevisionsIncrease(aHistory, process, steps, accepted, aFound);
  }
  for (const auto& [name, node] : aHistory.nodes()) {
    if (node.mRole == "upstream") {
      continue;
    }
    const auto steps = applied.find(name);
    for (const auto& [revision, time] : accepted) {
      // For a process that was down or suspended, the bound counts from the next time it is up.
      std::uint64_t from = time;
      for (const Interval& interval : intervalsOf(aHistory, "run", name, "up")) {
        from =
          interval.mBegin > time && upSince(aHistory, name, time) == 0 ? interval.mBegin : from;
        if (interval.mBegin > time) {
          break;
        }
      }
      const std::uint64_t due = from + kBound;
      const bool isDue = due <= aHistory.end() && isUp(aHistory, name, from, due);
      if (isDue && (steps == applied.end() || !hasAppliedBy(steps->second, revision, due))) {
        aFound.push_back({ Point::kConfiguration,
                           due,
                           name + " did not apply revision " + std::to_string(revision) +
                             " within 5 s of its acceptance" });
      }
    }
  }
}

} // namespace cornelcross::history
