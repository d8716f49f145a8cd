#include "history/checker.hpp"
#include "history/intervals.hpp"
#include "history/rules.hpp"

#include <algorithm>

namespace cornelcross::history {

namespace {

/// What one process had in force, in the order of time.
struct Applied
{
  std::uint64_t mTime = 0;
  std::uint64_t mRevision = 0;
};

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

/// When each revision was first in force anywhere.
std::map<std::uint64_t, std::uint64_t> acceptances(const AppliedBy& aApplied)
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

/// Highest revision that was in force everywhere before aTime.
std::uint64_t settledBefore(const std::map<std::uint64_t, std::uint64_t>& aAccepted,
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

void checkMonotone(const History& aHistory,
                   const std::string& aProcess,
                   const std::vector<Applied>& aSteps,
                   const std::map<std::uint64_t, std::uint64_t>& aAccepted,
                   Violations& aFound)
{
  Applied last;
  for (const Applied& step : aSteps) {
    // A process that starts anew must not bring back what was out of force everywhere.
    const bool isStart = hasStarted(aHistory, aProcess, last.mTime, step.mTime);
    const std::uint64_t least = isStart ? settledBefore(aAccepted, step.mTime) : last.mRevision;
    if (step.mRevision < least) {
      aFound.push_back({ Point::kConfiguration,
                         step.mTime,
                         aProcess + " went back to revision " + std::to_string(step.mRevision) +
                           " from " + std::to_string(least) });
    }
    last = step;
  }
}

/// True if the process ran undisturbed from aFrom to aTo.
bool isUp(const History& aHistory,
          const std::string& aProcess,
          std::uint64_t aFrom,
          std::uint64_t aTo)
{
  const auto spans = intervalsOf(aHistory, "run", aProcess, "up");
  return std::any_of(spans.begin(), spans.end(), [&](const Interval& aSpan) {
    return aSpan.mBegin <= aFrom && aSpan.mEnd >= aTo;
  });
}

/// Start of the span in which the process is up at aTime; 0 if it isn't.
std::uint64_t upSince(const History& aHistory, const std::string& aProcess, std::uint64_t aTime)
{
  for (const Interval& span : intervalsOf(aHistory, "run", aProcess, "up")) {
    if (span.mBegin <= aTime && aTime < span.mEnd) {
      return span.mBegin;
    }
  }
  return 0;
}

bool hasInForce(const std::vector<Applied>& aSteps, std::uint64_t aRevision, std::uint64_t aBy)
{
  return std::any_of(aSteps.begin(), aSteps.end(), [&](const Applied& aStep) {
    return aStep.mRevision >= aRevision && aStep.mTime <= aBy;
  });
}

} // namespace

void checkConfiguration(const History& aHistory, Violations& aFound)
{
  const AppliedBy applied = collect(aHistory);
  const auto accepted = acceptances(applied);
  for (const auto& [process, steps] : applied) {
    checkMonotone(aHistory, process, steps, accepted, aFound);
  }
  for (const auto& [name, node] : aHistory.nodes()) {
    if (node.mRole == "upstream") {
      continue;
    }
    const auto steps = applied.find(name);
    for (const auto& [revision, time] : accepted) {
      // A process that was away has the same time from its return.
      std::uint64_t from = time;
      for (const Interval& span : intervalsOf(aHistory, "run", name, "up")) {
        from = span.mBegin > time && upSince(aHistory, name, time) == 0 ? span.mBegin : from;
        if (span.mBegin > time) {
          break;
        }
      }
      const std::uint64_t due = from + kBound;
      const bool isDue = due <= aHistory.end() && isUp(aHistory, name, from, due);
      if (isDue && (steps == applied.end() || !hasInForce(steps->second, revision, due))) {
        aFound.push_back({ Point::kConfiguration,
                           due,
                           name + " had revision " + std::to_string(revision) +
                             " not in force 5 s after its acceptance" });
      }
    }
  }
}

} // namespace cornelcross::history
