#include "tools/timeline/clock_offset.hpp"

#include "tools/timeline/difference_bounds.hpp"

#include <algorithm>

namespace cornelcross::tools::timeline {

namespace {

constexpr std::int64_t kMaxSlackUs = std::int64_t{ 1 } << 42U; // about 50 days

/// Causal pairs from one process to another, summarized by the smallest delay.
struct Link
{
  std::size_t mFrom;        ///< number of the process of the causes
  std::size_t mTo;          ///< number of the process of the effects
  std::int64_t mMinDelayUs; ///< smallest effect time minus cause time
};

/// Processes, numbered from 1, and the links between them.
struct ClockGraph
{
  std::vector<std::string> mNames; ///< process names; number n is at index n - 1
  std::vector<Link> mLinks;
  /// Process numbers in the order of estimation. The most trusted clocks, which have the fewest
  /// contradicted links, come first.
  std::vector<std::size_t> mEstimationOrder;
};

std::vector<Link> buildLinks(const std::vector<LogEvent>& aEvents,
                             const std::vector<CausalPair>& aPairs,
                             const std::map<std::string, std::size_t>& aNumbers)
{
  std::map<std::pair<std::size_t, std::size_t>, std::int64_t> minDelaysUs;
  for (const CausalPair& pair : aPairs) {
    const LogEvent& cause = aEvents[pair.mCause];
    const LogEvent& effect = aEvents[pair.mEffect];
    const std::int64_t delayUs = effect.mTimeUs - cause.mTimeUs;
    const auto key = std::pair(aNumbers.at(cause.mProcess), aNumbers.at(effect.mProcess));
    const auto [entry, isNew] = minDelaysUs.emplace(key, delayUs);
    entry->second = isNew ? delayUs : std::min(entry->second, delayUs);
  }
  std::vector<Link> links;
  links.reserve(minDelaysUs.size());
  for (const auto& [key, delayUs] : minDelaysUs) {
    links.push_back({ key.first, key.second, delayUs });
  }
  return links;
}

/// Numbers of the processes, ordered by increasing number of contradicted links, then by decreasing
/// number of links. A negative delay contradicts a link.
std::vector<std::size_t> orderByContradictions(std::size_t aCount, const std::vector<Link>& aLinks)
{
  // Sort key of each process: number of contradicted links, then the negated number of links.
  std::vector<std::pair<int, int>> sortKeys(aCount + 1);
  std::vector<std::size_t> order;
  for (const Link& link : aLinks) {
    for (const std::size_t number : { link.mFrom, link.mTo }) {
      sortKeys[number].first += link.mMinDelayUs < 0 ? 1 : 0;
      --sortKeys[number].second;
    }
  }
  for (std::size_t number = 1; number <= aCount; ++number) {
    order.push_back(number);
  }
  std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return sortKeys[aLeft] < sortKeys[aRight];
  });
  return order;
}

ClockGraph buildClockGraph(const std::vector<LogEvent>& aEvents,
                           const std::vector<CausalPair>& aPairs)
{
  std::map<std::string, std::size_t> numbers;
  for (const LogEvent& event : aEvents) {
    numbers.emplace(event.mProcess, 0);
  }
  ClockGraph graph;
  for (auto& [name, number] : numbers) {
    graph.mNames.push_back(name);
    number = graph.mNames.size();
  }
  graph.mLinks = buildLinks(aEvents, aPairs, numbers);
  graph.mEstimationOrder = orderByContradictions(graph.mNames.size(), graph.mLinks);
  return graph;
}

/// Computes the bounds of the offsets; empty if the constraints contradict each other. An effect
/// does not precede its cause, so offset[effect] - offset[cause] <= effect time - cause time +
/// aSlackUs.
std::optional<DifferenceBounds> boundOffsets(
  const ClockGraph& aGraph,
  const std::map<std::string, std::int64_t>& aUserOffsetsUs,
  std::int64_t aSlackUs)
{
  DifferenceBounds bounds(aGraph.mNames.size());
  for (const Link& link : aGraph.mLinks) {
    bounds.add(link.mFrom, link.mTo, link.mMinDelayUs + aSlackUs);
  }
  for (std::size_t i = 0; i < aGraph.mNames.size(); ++i) {
    const auto userOffset = aUserOffsetsUs.find(aGraph.mNames[i]);
    if (userOffset != aUserOffsetsUs.end()) {
      bounds.add(0, i + 1, userOffset->second);
      bounds.add(i + 1, 0, -userOffset->second);
    }
  }
  return bounds.computeClosure() ? std::optional(std::move(bounds)) : std::nullopt;
}

/// Smallest slack for which the constraints have a solution. A clock that was stepped or drifts
/// makes the constraints contradict each other, so that the slack is above 0.
std::int64_t minSlackUs(const ClockGraph& aGraph,
                        const std::map<std::string, std::int64_t>& aUserOffsetsUs)
{
  if (boundOffsets(aGraph, aUserOffsetsUs, 0)) {
    return 0;
  }
  std::int64_t lowUs = 0;
  std::int64_t highUs = kMaxSlackUs;
  while (highUs - lowUs > 1) {
    const std::int64_t middleUs = lowUs + (highUs - lowUs) / 2;
    (boundOffsets(aGraph, aUserOffsetsUs, middleUs) ? highUs : lowUs) = middleUs;
  }
  return highUs;
}

/// Selects 0 if the bounds allow 0. Otherwise selects the middle of the bounds, as Cristian's
/// algorithm (1989) does for round trips.
std::int64_t chooseOffsetUs(std::optional<std::int64_t> aLowestUs,
                            std::optional<std::int64_t> aHighestUs)
{
  const bool isTooLow = aLowestUs && *aLowestUs > 0;
  const bool isTooHigh = aHighestUs && *aHighestUs < 0;
  if (!isTooLow && !isTooHigh) {
    return 0;
  }
  if (aLowestUs && aHighestUs) {
    return *aLowestUs + (*aHighestUs - *aLowestUs) / 2;
  }
  // An extra microsecond keeps the effect from having the same time as its cause.
  return isTooLow ? *aLowestUs + 1 : *aHighestUs - 1;
}

} // namespace

ClockOffsets estimateOffsets(const std::vector<LogEvent>& aEvents,
                             const std::vector<CausalPair>& aPairs,
                             const std::map<std::string, std::int64_t>& aUserOffsetsUs)
{
  const ClockGraph graph = buildClockGraph(aEvents, aPairs);
  ClockOffsets offsets;
  offsets.mSlackUs = minSlackUs(graph, aUserOffsetsUs);
  DifferenceBounds bounds = boundOffsets(graph, aUserOffsetsUs, offsets.mSlackUs).value();
  for (const std::size_t number : graph.mEstimationOrder) {
    const std::string& name = graph.mNames[number - 1];
    ClockOffset offset;
    offset.mLowestUs = bounds.lowest(number);
    offset.mHighestUs = bounds.highest(number);
    offset.mOffsetUs = chooseOffsetUs(offset.mLowestUs, offset.mHighestUs);
    offset.mIsUserSupplied = aUserOffsetsUs.count(name) != 0;
    bounds.fixValue(number, offset.mOffsetUs);
    offsets.mByProcess.emplace(name, offset);
  }
  return offsets;
}

std::vector<LogEvent> correctTimes(std::vector<LogEvent> aEvents, const ClockOffsets& aOffsets)
{
  for (LogEvent& event : aEvents) {
    event.mTimeUs -= aOffsets.mByProcess.at(event.mProcess).mOffsetUs;
  }
  std::stable_sort(
    aEvents.begin(), aEvents.end(), [](const LogEvent& aLeft, const LogEvent& aRight) {
      return aLeft.mTimeUs < aRight.mTimeUs;
    });
  return aEvents;
}

} // namespace cornelcross::tools::timeline
