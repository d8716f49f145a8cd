#pragma once

#include "tools/timeline/log_event.hpp"

namespace cornelcross::tools::timeline {

/// @brief Draws events as a self-contained SVG picture with a lane for each process and a colour
/// for each kind. Events of one lane, kind and pixel column share a mark, so that the number of
/// events does not affect the maximum size of the picture.
/// @param aEvents events sorted by time
std::string toSvg(const std::vector<LogEvent>& aEvents);

} // namespace cornelcross::tools::timeline
