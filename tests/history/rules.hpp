#pragma once

#include "history/history.hpp"
#include "history/violation.hpp"

/// @brief Checks of the points; each check appends the violations that it finds to aFound.
namespace cornelcross::history {

using Violations = std::vector<Violation>;

void checkFlows(const History& aHistory, Violations& aFound);
void checkAnswers(const History& aHistory, Violations& aFound);
void checkRefusals(const History& aHistory, Violations& aFound);
void checkSaves(const History& aHistory, Violations& aFound);
void checkIsolation(const History& aHistory, Violations& aFound);
void checkZones(const History& aHistory, Violations& aFound);
void checkLeaving(const History& aHistory, Violations& aFound);
void checkColdLoad(const History& aHistory, Violations& aFound);
void checkConfiguration(const History& aHistory, Violations& aFound);

} // namespace cornelcross::history
