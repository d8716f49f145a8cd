#pragma once

#include "scenarios/language/rule.hpp"

namespace cornelcross::scenarios {

/// @brief One parsed line.
struct Step
{
  std::size_t mLine = 0; ///< from 1
  std::string mText;
  std::size_t mRule = 0; ///< index of the rule that matched
  Arguments mArguments;
};

/// @brief A line that no rule matches.
struct SyntaxError
{
  std::size_t mLine = 0; ///< from 1
  std::string mMessage;

  auto operator<=>(const SyntaxError&) const = default;

  std::string toString() const { return "line " + std::to_string(mLine) + ": " + mMessage; }
};

} // namespace cornelcross::scenarios
