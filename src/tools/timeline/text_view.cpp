#include "tools/timeline/text_view.hpp"

#include "telemetry/event_log.hpp"

#include <cstdio>

namespace cornelcross::tools::timeline {

namespace {

std::string formatBound(const std::optional<std::int64_t>& aBound)
{
  return aBound ? std::to_string(*aBound) : "none";
}

} // namespace

std::string offsetsToText(const ClockOffsets& aOffsets)
{
  std::string text;
  for (const auto& [process, offset] : aOffsets.mByProcess) {
    text += "# clock process=" + process + " offset_us=" + std::to_string(offset.mOffsetUs) +
            " lowest_us=" + formatBound(offset.mLowestUs) +
            " highest_us=" + formatBound(offset.mHighestUs) +
            (offset.mIsUserSupplied ? " given=yes\n" : "\n");
  }
  if (aOffsets.mSlackUs > 0) {
    text += "# clocks changed during the run: slack_us=" + std::to_string(aOffsets.mSlackUs) + "\n";
  }
  return text;
}

std::string toText(const LogEvent& aEvent, std::int64_t aStartUs)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  char columns[160];
  std::snprintf(columns,
                sizeof(columns),
                "%12.6f  %-22s %-20s",
                static_cast<double>(aEvent.mTimeUs - aStartUs) / kMicrosecondsPerSecond,
                aEvent.mProcess.c_str(),
                aEvent.mKind.c_str());
  std::string text = columns;
  for (const auto& [name, value] : aEvent.mFields) {
    text.append(" ").append(name).append("=").append(telemetry::quote(value));
  }
  return text;
}

} // namespace cornelcross::tools::timeline
