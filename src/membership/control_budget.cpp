#include "membership/control_budget.hpp"

#include <algorithm>
#include <array>

namespace cornelcross::membership {

namespace {

/// Fraction of the capacity that each kind leaves to the kinds of higher priority.
constexpr std::array<double, kControlKinds> kReservedFraction{ 0, 0, 0, 0.1, 0.2, 0.3, 0.4, 0.6 };

/// Maximum debt by charge(), as a fraction of the capacity.
constexpr double kMaxDebtFraction = 0.5;

/// True for the kinds of which one message may exceed the fill level, because a batch of documents
/// can be larger than the capacity. The debt then delays the following messages.
constexpr bool mayGoIntoDebt(ControlKind aKind)
{
  return aKind <= ControlKind::kServiceRead;
}

} // namespace

ControlBudget::ControlBudget(std::uint32_t aBytesPerSecond, base::Duration aBurst)
  : mBytesPerSecond(aBytesPerSecond)
  , mCapacityBytes(aBytesPerSecond * std::chrono::duration<double>(aBurst).count())
  , mAvailableBytes(mCapacityBytes)
{
}

bool ControlBudget::tryConsume(base::Time aNow, ControlKind aKind, std::size_t aBytes)
{
  refill(aNow);
  const auto bytes = static_cast<double>(aBytes);
  const double reserve = kReservedFraction[static_cast<std::size_t>(aKind)] * mCapacityBytes;
  const double floor = aKind == ControlKind::kConfirmation ? -mCapacityBytes : 0;
  const bool isAdmitted =
    mayGoIntoDebt(aKind) ? mAvailableBytes > floor : mAvailableBytes - bytes >= reserve;
  if (isAdmitted) {
    mAvailableBytes -= bytes;
  }
  return isAdmitted;
}

void ControlBudget::charge(base::Time aNow, std::size_t aBytes)
{
  refill(aNow);
  // A process that starts reads megabytes at once. A debt that takes more than the next seconds to
  // repay would prevent it from replying to any peer for minutes. The other half of the possible
  // debt is left to confirmations.
  const double after = mAvailableBytes - static_cast<double>(aBytes);
  mAvailableBytes = std::max(after, std::min(mAvailableBytes, -mCapacityBytes * kMaxDebtFraction));
}

double ControlBudget::availableBytes(base::Time aNow)
{
  refill(aNow);
  return mAvailableBytes;
}

void ControlBudget::refill(base::Time aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
  mAvailableBytes = std::min(mCapacityBytes, mAvailableBytes + elapsed.count() * mBytesPerSecond);
  mRefilledAt = aNow;
}

} // namespace cornelcross::membership
