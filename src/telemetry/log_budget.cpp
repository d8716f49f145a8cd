#include "telemetry/log_budget.hpp"

namespace cornelcross::telemetry {

namespace {

constexpr base::Duration kSecond = std::chrono::seconds(1);

/// Divisor of the budget for events of flows that open or close. The remainder is reserved for
/// refusals and resets.
constexpr std::uint32_t kFlowLineBudgetDivisor = 2;

bool isFlowLifecycleEvent(EventKind aKind)
{
  return aKind == EventKind::kFlowOpened || aKind == EventKind::kFlowClosed ||
         aKind == EventKind::kFlowAdopted || aKind == EventKind::kFlowOffered ||
         aKind == EventKind::kOwnerNotFound;
}

} // namespace

bool LogBudget::admit(base::Time aNow, EventKind aKind)
{
  if (aNow - mSecondStart >= kSecond) {
    mSecondStart = aNow;
    mLinesWritten = 0;
  }
  const bool isRefusal = aKind == EventKind::kFlowRefused || aKind == EventKind::kFlowReset;
  if (!isRefusal && !isFlowLifecycleEvent(aKind)) {
    return true;
  }
  const std::uint32_t bound =
    isRefusal ? mLinesPerSecond : mLinesPerSecond / kFlowLineBudgetDivisor;
  if (mLinesWritten >= bound) {
    ++mSuppressedLines;
    return false;
  }
  ++mLinesWritten;
  return true;
}

std::optional<std::uint64_t> LogBudget::takeSuppressedLines(base::Time aNow)
{
  if (mSuppressedLines == 0 || aNow - mLastReport < kSecond) {
    return std::nullopt;
  }
  mLastReport = aNow;
  const std::uint64_t suppressed = mSuppressedLines;
  mSuppressedLines = 0;
  return suppressed;
}

} // namespace cornelcross::telemetry
