#pragma once

#include "tools/timeline/log_event.hpp"

namespace cornelcross::tools::timeline {

/// @brief Draws events in the order of time as a self-contained SVG picture: a lane for each
/// process, a colour for each kind. Events of a lane and kind that fall on one pixel share a mark,
/// so that the size is bounded whatever the number of events.
std::string toSvg(const std::vector<LogEvent>& aEvents);

} // namespace cornelcross::tools::timeline
