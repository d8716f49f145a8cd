#include "telemetry/log_budget.hpp"

namespace cornelcross::telemetry {

namespace {

constexpr base::Duration kSecond = std::chrono::seconds(1);

/// Part of the budget that openings leave to refusals.
constexpr std::uint32_t kKeptForRefusals = 2;

bool isOrdinary(EventKind aKind)
{
  return aKind == EventKind::kFlowOpened || aKind == EventKind::kFlowClosed ||
         aKind == EventKind::kFlowAdopted || aKind == EventKind::kFlowOffered;
}

} // namespace

bool LogBudget::admit(base::Time aNow, EventKind aKind)
{
  if (aNow - mSecond >= kSecond) {
    mSecond = aNow;
    mWritten = 0;
  }
  const bool isRefusal = aKind == EventKind::kFlowRefused || aKind == EventKind::kFlowReset;
  if (!isRefusal && !isOrdinary(aKind)) {
    return true;
  }
  const std::uint32_t bound = isRefusal ? mLinesPerSecond : mLinesPerSecond / kKeptForRefusals;
  if (mWritten >= bound) {
    ++mSuppressed;
    return false;
  }
  ++mWritten;
  return true;
}

std::optional<std::uint64_t> LogBudget::takeSuppressed(base::Time aNow)
{
  if (mSuppressed == 0 || aNow - mToldAt < kSecond) {
    return std::nullopt;
  }
  mToldAt = aNow;
  const std::uint64_t suppressed = mSuppressed;
  mSuppressed = 0;
  return suppressed;
}

} // namespace cornelcross::telemetry
