#pragma once

#include "base/time.hpp"
#include "membership/control_kind.hpp"

namespace cornelcross::membership {

/// @brief Holds control traffic to a rate: a token bucket of which each kind leaves a part to the
/// more important ones.
class ControlBudget
{
public:
  /// @param aBytesPerSecond rate in the long run
  /// @param aBurst          time at that rate which may be saved up
  ControlBudget(std::uint32_t aBytesPerSecond, base::Duration aBurst);

  /// @brief Takes aBytes for a message of aKind; false if the message has to wait.
  bool take(base::Time aNow, ControlKind aKind, std::size_t aBytes);

  /// @brief Charges traffic that did not ask before; the bucket goes into debt by half its size at
  /// most.
  void charge(base::Time aNow, std::size_t aBytes);

  /// @brief Bytes that the most important kind may use now; negative in debt.
  double level(base::Time aNow);

private:
  void refill(base::Time aNow);

  double mBytesPerSecond;
  double mCapacity;
  double mLevel;
  base::Time mRefilledAt;
};

} // namespace cornelcross::membership
