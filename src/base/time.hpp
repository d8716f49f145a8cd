#pragma once

#include <chrono>

/// @brief Types shared by every layer.
namespace cornelcross::base {

/// @brief Duration in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// @brief Monotonic point in time. Decisions receive it with each event and never read a clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace cornelcross::base
