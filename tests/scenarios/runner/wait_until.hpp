#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace cornelcross::scenarios {

/// @brief Polls aCondition until it returns true.
/// @throws std::runtime_error that contains aDescription after aTimeout
void waitUntil(const std::string& aDescription,
               std::chrono::milliseconds aTimeout,
               const std::function<bool()>& aCondition);

} // namespace cornelcross::scenarios
