#pragma once

#include "scenarios/language/step.hpp"

#include <variant>

namespace cornelcross::scenarios {

/// @brief The steps of a script, or every syntax error in it.
using Script = std::variant<std::vector<Step>, std::vector<SyntaxError>>;

/// @brief Parses a script. Empty lines are skipped and "#" begins a comment.
Script parseScript(const std::string& aText, const std::vector<Rule>& aRules);

} // namespace cornelcross::scenarios
