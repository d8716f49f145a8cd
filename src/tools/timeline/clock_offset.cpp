#include "tools/timeline/clock_offset.hpp"

#include "tools/timeline/difference_bounds.hpp"

#include <algorithm>

namespace cornelcross::tools::timeline {

namespace {

constexpr std::int64_t kMaxSlack = std::int64_t{ 1 } << 42U; // microseconds, about 50 days

/// Smallest difference of effect and cause between two processes, in microseconds.
struct Link
{
  std::size_t mFrom;
  std::size_t mTo;
  std::int64_t mLeast;
};

/// The processes in the order in which their clocks are trusted, numbered from 1.
struct Model
{
  std::vector<std::string> mNames; ///< by number, less one
  std::vector<Link> mLinks;
  std::vector<std::size_t> mOrder; ///< fewest contradicted links first
};

std::vector<Link> linksOf(const std::vector<LogEvent>& aEvents,
                          const std::vector<CausalPair>& aPairs,
                          const std::map<std::string, std::size_t>& aNumbers)
{
  std::map<std::pair<std::size_t, std::size_t>, std::int64_t> least;
  for (const CausalPair& pair : aPairs) {
    const LogEvent& cause = aEvents[pair.mCause];
    const LogEvent& effect = aEvents[pair.mEffect];
    const std::int64_t delay = effect.mTime - cause.mTime;
    const auto key = std::pair(aNumbers.at(cause.mProcess), aNumbers.at(effect.mProcess));
    const auto [entry, isNew] = least.emplace(key, delay);
    entry->second = isNew ? delay : std::min(entry->second, delay);
  }
  std::vector<Link> links;
  links.reserve(least.size());
  for (const auto& [key, delay] : least) {
    links.push_back({ key.first, key.second, delay });
  }
  return links;
}

std::vector<std::size_t> trustOrder(std::size_t aCount, const std::vector<Link>& aLinks)
{
  std::vector<std::pair<int, int>> rank(aCount + 1); // contradicted links, then -links
  std::vector<std::size_t> order;
  for (const Link& link : aLinks) {
    for (const std::size_t number : { link.mFrom, link.mTo }) {
      rank[number].first += link.mLeast < 0 ? 1 : 0;
      --rank[number].second;
    }
  }
  for (std::size_t number = 1; number <= aCount; ++number) {
    order.push_back(number);
  }
  std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return rank[aLeft] < rank[aRight];
  });
  return order;
}

Model modelOf(const std::vector<LogEvent>& aEvents, const std::vector<CausalPair>& aPairs)
{
  std::map<std::string, std::size_t> numbers;
  for (const LogEvent& event : aEvents) {
    numbers.emplace(event.mProcess, 0);
  }
  Model model;
  for (auto& [name, number] : numbers) {
    model.mNames.push_back(name);
    number = model.mNames.size();
  }
  model.mLinks = linksOf(aEvents, aPairs, numbers);
  model.mOrder = trustOrder(model.mNames.size(), model.mLinks);
  return model;
}

/// An effect comes after its cause: offset[effect] - offset[cause] <= difference of their times.
std::optional<DifferenceBounds> constrain(const Model& aModel,
                                          const std::map<std::string, std::int64_t>& aGiven,
                                          std::int64_t aSlack)
{
  DifferenceBounds bounds(aModel.mNames.size());
  for (const Link& link : aModel.mLinks) {
    bounds.add(link.mFrom, link.mTo, link.mLeast + aSlack);
  }
  for (std::size_t i = 0; i < aModel.mNames.size(); ++i) {
    const auto given = aGiven.find(aModel.mNames[i]);
    if (given != aGiven.end()) {
      bounds.add(0, i + 1, given->second);
      bounds.add(i + 1, 0, -given->second);
    }
  }
  return bounds.close() ? std::optional(std::move(bounds)) : std::nullopt;
}

/// A clock that was stepped or drifted contradicts itself: the smallest slack that removes this.
std::int64_t smallestSlack(const Model& aModel, const std::map<std::string, std::int64_t>& aGiven)
{
  if (constrain(aModel, aGiven, 0)) {
    return 0;
  }
  std::int64_t low = 0;
  std::int64_t high = kMaxSlack;
  while (high - low > 1) {
    const std::int64_t middle = low + (high - low) / 2;
    (constrain(aModel, aGiven, middle) ? high : low) = middle;
  }
  return high;
}

/// Zero if it is allowed; else the middle of the bounds, as round trips give it (Cristian, 1989).
std::int64_t choose(std::optional<std::int64_t> aLowest, std::optional<std::int64_t> aHighest)
{
  const bool isTooLow = aLowest && *aLowest > 0;
  const bool isTooHigh = aHighest && *aHighest < 0;
  if (!isTooLow && !isTooHigh) {
    return 0;
  }
  if (aLowest && aHighest) {
    return *aLowest + (*aHighest - *aLowest) / 2;
  }
  // One microsecond more, so that the effect doesn't share its cause's time.
  return isTooLow ? *aLowest + 1 : *aHighest - 1;
}

} // namespace

ClockOffsets estimateOffsets(const std::vector<LogEvent>& aEvents,
                             const std::vector<CausalPair>& aPairs,
                             const std::map<std::string, std::int64_t>& aGiven)
{
  const Model model = modelOf(aEvents, aPairs);
  ClockOffsets offsets;
  offsets.mSlack = smallestSlack(model, aGiven);
  DifferenceBounds bounds = constrain(model, aGiven, offsets.mSlack).value();
  for (const std::size_t number : model.mOrder) {
    const std::string& name = model.mNames[number - 1];
    ClockOffset offset;
    offset.mLowest = bounds.lowest(number);
    offset.mHighest = bounds.highest(number);
    offset.mOffset = choose(offset.mLowest, offset.mHighest);
    offset.mIsGiven = aGiven.count(name) != 0;
    bounds.fix(number, offset.mOffset);
    offsets.mByProcess.emplace(name, offset);
  }
  return offsets;
}

std::vector<LogEvent> correctTimes(std::vector<LogEvent> aEvents, const ClockOffsets& aOffsets)
{
  for (LogEvent& event : aEvents) {
    event.mTime -= aOffsets.mByProcess.at(event.mProcess).mOffset;
  }
  std::stable_sort(
    aEvents.begin(), aEvents.end(), [](const LogEvent& aLeft, const LogEvent& aRight) {
      return aLeft.mTime < aRight.mTime;
    });
  return aEvents;
}

} // namespace cornelcross::tools::timeline
