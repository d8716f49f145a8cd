#include "history/checker.hpp"

#include <iostream>

/// Checks the logs in a folder. Exit code 0 if no point is violated, 1 if a point is violated, 2 on
/// a usage error.
int main(int aArgc, char** aArgv)
{
  using namespace cornelcross::history;
  if (aArgc != 2) {
    std::cerr << "usage: check-history FOLDER\n";
    return 2;
  }
  const History history = History::load(aArgv[1]);
  const auto found = check(history);
  for (const Violation& violation : found) {
    std::cout << "violation point=" << toString(violation.mPoint) << " time_us=" << violation.mTime
              << " text=\"" << violation.mText << "\"\n";
  }
  std::cout << "history records=" << history.records().size() << " violations=" << found.size()
            << '\n';
  return found.empty() ? 0 : 1;
}
