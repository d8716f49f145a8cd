#include "config/nesting.hpp"

namespace cornelcross::config {

// The parser is iterative, but copying and formatting its result are recursive and would overflow
// the stack.
bool isNestedDeeperThan(const std::string& aText, std::size_t aMaxLevels)
{
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (isInString) {
      i += character == '\\' ? 1 : 0;
      isInString = character != '"';
    } else if (character == '"') {
      isInString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > aMaxLevels) {
        return true;
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

} // namespace cornelcross::config
