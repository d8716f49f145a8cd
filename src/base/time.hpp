#pragma once

#include <chrono>

/// @brief Types and functions shared by all layers.
namespace cornelcross::base {

/// @brief Duration in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// @brief Monotonic point in time. Deterministic code receives the time with each event and never
/// reads a clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace cornelcross::base
