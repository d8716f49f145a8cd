#pragma once

#include "scenarios/language/rule.hpp"

namespace cornelcross::scenarios {

/// @brief A parsed line of a script.
struct Step
{
  std::size_t mLine = 0; ///< line number, counted from 1
  std::string mText;
  std::size_t mRuleIndex = 0; ///< index of the matching rule
  Arguments mArguments;
};

/// @brief A line that no rule matches.
struct SyntaxError
{
  std::size_t mLine = 0; ///< line number, counted from 1
  std::string mMessage;

  auto operator<=>(const SyntaxError&) const = default;

  /// @brief Formats the error as "line N: MESSAGE".
  std::string toString() const { return "line " + std::to_string(mLine) + ": " + mMessage; }
};

} // namespace cornelcross::scenarios
