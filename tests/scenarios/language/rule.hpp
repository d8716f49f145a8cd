#pragma once

#include "scenarios/language/arguments.hpp"

#include <functional>

namespace cornelcross::scenarios {

/// @brief One kind of step. In the pattern, words in capitals are placeholders:
/// NAME, LIST (names with commas), COUNT, DURATION (ms, s), SHARE (%), RATE (/s), COMPARISON
/// (=, <, >) and TEXT (the rest of the line); a|b is a choice, which is also an argument.
struct Rule
{
  std::string mPattern;
  std::function<void(const Arguments&)> mRun;
};

} // namespace cornelcross::scenarios
