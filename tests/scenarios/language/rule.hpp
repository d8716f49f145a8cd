#pragma once

#include "scenarios/language/arguments.hpp"

#include <functional>

namespace cornelcross::scenarios {

/// @brief A pattern of the scenario language and its action. Words in capitals are placeholders:
/// NAME, LIST (comma-separated names), COUNT, DURATION (ms, s), SHARE (%), RATE (/s), COMPARISON
/// (=, <, >) and TEXT (the rest of the line). "a|b" accepts either word. Words that match a
/// placeholder or a choice become arguments.
struct Rule
{
  std::string mPattern;
  std::function<void(const Arguments&)> mRun;
};

} // namespace cornelcross::scenarios
