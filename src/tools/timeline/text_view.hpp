#pragma once

#include "tools/timeline/clock_offset.hpp"

namespace cornelcross::tools::timeline {

/// @brief Formats one comment line for each process with the offset of its clock and the bounds,
/// and one line with the slack if the slack is above 0.
std::string offsetsToText(const ClockOffsets& aOffsets);

/// @brief Formats an event as a line without line break. The columns are seconds since aStartUs,
/// process, kind and fields.
std::string toText(const LogEvent& aEvent, std::int64_t aStartUs);

} // namespace cornelcross::tools::timeline
