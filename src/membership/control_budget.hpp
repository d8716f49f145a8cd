#pragma once

#include "base/time.hpp"
#include "membership/control_kind.hpp"

namespace cornelcross::membership {

/// @brief Limits control traffic to a rate by a token bucket in bytes. Each kind of traffic leaves
/// a reserve in the bucket to the kinds of higher priority.
class ControlBudget
{
public:
  /// @param aBytesPerSecond long-term rate
  /// @param aBurst          capacity of the bucket, as the time in which the rate fills it
  ControlBudget(std::uint32_t aBytesPerSecond, base::Duration aBurst);

  /// @brief Takes aBytes from the bucket for a message of aKind.
  /// @return false, with nothing taken, if the budget does not admit the message now
  bool tryConsume(base::Time aNow, ControlKind aKind, std::size_t aBytes);

  /// @brief Charges traffic that is not subject to admission. The resulting debt is at most half
  /// the capacity of the bucket.
  void charge(base::Time aNow, std::size_t aBytes);

  /// @brief Fill level of the bucket in bytes; negative while it is in debt.
  double availableBytes(base::Time aNow);

private:
  void refill(base::Time aNow);

  double mBytesPerSecond;
  double mCapacityBytes;
  double mAvailableBytes;
  base::Time mRefilledAt;
};

} // namespace cornelcross::membership
