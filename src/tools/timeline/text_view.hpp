#pragma once

#include "tools/timeline/clock_offset.hpp"

namespace cornelcross::tools::timeline {

/// @brief One comment line for each process with the offset of its clock and the bounds.
std::string offsetsToText(const ClockOffsets& aOffsets);

/// @brief One line: seconds since aStart, process, kind and fields in columns.
std::string toText(const LogEvent& aEvent, std::int64_t aStart);

} // namespace cornelcross::tools::timeline
