#include "scenarios/language/parser.hpp"

#include <map>
#include <optional>
#include <regex>
#include <sstream>

namespace cornelcross::scenarios {

namespace {

using Words = std::vector<std::string>;

Words split(const std::string& aLine)
{
  std::istringstream stream(aLine);
  Words words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

const std::map<std::string, std::regex>& placeholders()
{
  static const std::map<std::string, std::regex> kAll{
    { "NAME", std::regex("[a-z][a-z0-9/:-]*") },
    { "LIST", std::regex("[a-z][a-z0-9,-]*") },
    { "COUNT", std::regex("[0-9]{1,6}") },
    { "DURATION", std::regex("[0-9]{1,6}(ms|s)") },
    { "SHARE", std::regex("[0-9]{1,3}(\\.[0-9]+)?%") },
    { "RATE", std::regex("[0-9]{1,4}/s") },
    { "COMPARISON", std::regex("[=<>]") },
  };
  return kAll;
}

bool isChoice(const std::string& aPattern, const std::string& aWord)
{
  std::istringstream choices(aPattern);
  for (std::string choice; std::getline(choices, choice, '|');) {
    if (choice == aWord) {
      return true;
    }
  }
  return false;
}

/// Matches one word of a step; adds a word that matches a placeholder or a choice to aArguments.
bool matchWord(const std::string& aPattern, const std::string& aWord, Arguments& aArguments)
{
  const auto placeholder = placeholders().find(aPattern);
  if (placeholder == placeholders().end() && aPattern.find('|') == std::string::npos) {
    return aPattern == aWord;
  }
  const bool matches = placeholder == placeholders().end()
                         ? isChoice(aPattern, aWord)
                         : std::regex_match(aWord, placeholder->second);
  if (matches) {
    aArguments.add(aWord);
  }
  return matches;
}

std::string joinWords(const Words& aWords, std::size_t aFirst)
{
  std::string text;
  for (std::size_t i = aFirst; i < aWords.size(); ++i) {
    text += (i == aFirst ? "" : " ") + aWords[i];
  }
  return text;
}

std::optional<Arguments> match(const Words& aPattern, const Words& aWords)
{
  Arguments arguments;
  for (std::size_t i = 0; i < aPattern.size(); ++i) {
    if (aPattern[i] == "TEXT" && i < aWords.size()) {
      arguments.add(joinWords(aWords, i));
      return arguments;
    }
    if (i >= aWords.size() || !matchWord(aPattern[i], aWords[i], arguments)) {
      return std::nullopt;
    }
  }
  return aPattern.size() == aWords.size() ? std::optional(arguments) : std::nullopt;
}

std::string describeExpected(const std::string& aVerb, const std::vector<Rule>& aRules)
{
  std::string expected;
  for (const Rule& rule : aRules) {
    if (split(rule.mPattern).front() == aVerb) {
      expected += (expected.empty() ? "expected \"" : " or \"") + rule.mPattern + '"';
    }
  }
  return expected.empty() ? "unknown step \"" + aVerb + '"' : expected;
}

} // namespace

Script parseScript(const std::string& aText, const std::vector<Rule>& aRules)
{
  std::vector<Step> steps;
  std::vector<SyntaxError> errors;
  std::istringstream lines(aText);
  std::size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    const Words words = split(line.substr(0, line.find('#')));
    if (words.empty()) {
      continue;
    }
    const std::size_t before = steps.size();
    for (std::size_t i = 0; i < aRules.size() && steps.size() == before; ++i) {
      if (auto arguments = match(split(aRules[i].mPattern), words)) {
        steps.push_back({ number, joinWords(words, 0), i, std::move(*arguments) });
      }
    }
    if (steps.size() == before) {
      errors.push_back({ number, describeExpected(words.front(), aRules) });
    }
  }
  if (!errors.empty()) {
    return errors;
  }
  return steps;
}

} // namespace cornelcross::scenarios
