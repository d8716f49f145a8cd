#pragma once

#include <variant>
#include <vector>

namespace cornelcross::test {

/// @brief First action of the type T; nullptr if there is none.
template<class T, class Action>
const T* findAction(const std::vector<Action>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

} // namespace cornelcross::test
