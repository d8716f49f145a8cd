#include "history/checker.hpp"

#include "history/rules.hpp"

#include <algorithm>

namespace cornelcross::history {

std::vector<Violation> check(const History& aHistory)
{
  std::vector<Violation> found;
  for (const auto rule : { checkFlows,
                           checkAnswers,
                           checkRefusals,
                           checkSaves,
                           checkIsolation,
                           checkZones,
                           checkLeaving,
                           checkColdLoad,
                           checkConfiguration }) {
    rule(aHistory, found);
  }
  std::stable_sort(found.begin(), found.end(), [](const Violation& aLeft, const Violation& aRight) {
    return aLeft.mTime < aRight.mTime;
  });
  return found;
}

} // namespace cornelcross::history
