#pragma once

#include "base/time.hpp"
#include "telemetry/event.hpp"

#include <cstdint>
#include <optional>

namespace cornelcross::telemetry {

/// @brief Bounds the lines that a process logs a second. Thinned first are those of single flows
/// that open and close, then refusals; what changes the process's beliefs is always logged.
/// Deterministic: time comes with each call.
class LogBudget
{
public:
  /// @param aLinesPerSecond bound on lines of single flows
  explicit LogBudget(std::uint32_t aLinesPerSecond) : mLinesPerSecond(aLinesPerSecond) {}

  /// @brief True if an event of this kind is logged now; counts it as suppressed otherwise.
  bool admit(base::Time aNow, EventKind aKind);

  /// @brief Counts a line that could not be written.
  void noteLost() { ++mSuppressed; }

  /// @brief Lines suppressed in the seconds before this one, once they are to be told.
  std::optional<std::uint64_t> takeSuppressed(base::Time aNow);

private:
  std::uint32_t mLinesPerSecond;
  std::uint32_t mWritten = 0; ///< of this second
  base::Time mSecond;
  base::Time mToldAt;
  std::uint64_t mSuppressed = 0;
};

} // namespace cornelcross::telemetry
