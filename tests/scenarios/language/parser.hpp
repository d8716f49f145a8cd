#pragma once

#include "scenarios/language/step.hpp"

#include <variant>

namespace cornelcross::scenarios {

/// @brief The steps of a valid script, or every syntax error of an invalid script.
using Script = std::variant<std::vector<Step>, std::vector<SyntaxError>>;

/// @brief Parses a script. The first rule that matches a line wins. Empty lines are skipped and "#"
/// begins a comment.
Script parseScript(const std::string& aText, const std::vector<Rule>& aRules);

} // namespace cornelcross::scenarios
