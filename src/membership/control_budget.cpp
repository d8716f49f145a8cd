#include "membership/control_budget.hpp"

#include <algorithm>
#include <array>

namespace cornelcross::membership {

namespace {

/// Part of the bucket that each kind leaves to the more important ones.
constexpr std::array<double, kControlKinds> kReserve{ 0, 0, 0, 0.1, 0.2, 0.4, 0.6 };

/// Part of the bucket that unasked traffic may put it into debt by.
constexpr double kMaxDebt = 0.5;

/// A single message of the first kinds may exceed what is left: a set of documents is larger than
/// the bucket may be. The debt then holds back what follows.
constexpr bool mayGoIntoDebt(ControlKind aKind)
{
  return aKind <= ControlKind::kServiceRead;
}

} // namespace

ControlBudget::ControlBudget(std::uint32_t aBytesPerSecond, base::Duration aBurst)
  : mBytesPerSecond(aBytesPerSecond)
  , mCapacity(aBytesPerSecond * std::chrono::duration<double>(aBurst).count())
  , mLevel(mCapacity)
{
}

bool ControlBudget::take(base::Time aNow, ControlKind aKind, std::size_t aBytes)
{
  refill(aNow);
  const auto bytes = static_cast<double>(aBytes);
  const double reserve = kReserve[static_cast<std::size_t>(aKind)] * mCapacity;
  const double floor = aKind == ControlKind::kConfirmation ? -mCapacity : 0;
  const bool fits = mayGoIntoDebt(aKind) ? mLevel > floor : mLevel - bytes >= reserve;
  if (fits) {
    mLevel -= bytes;
  }
  return fits;
}

void ControlBudget::charge(base::Time aNow, std::size_t aBytes)
{
  refill(aNow);
  // A starting process reads megabytes at once. Debt beyond what the next seconds repay would keep
  // it from answering anybody for minutes, and confirmations have the other half to themselves.
  const double after = mLevel - static_cast<double>(aBytes);
  mLevel = std::max(after, std::min(mLevel, -mCapacity * kMaxDebt));
}

double ControlBudget::level(base::Time aNow)
{
  refill(aNow);
  return mLevel;
}

void ControlBudget::refill(base::Time aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
  mLevel = std::min(mCapacity, mLevel + elapsed.count() * mBytesPerSecond);
  mRefilledAt = aNow;
}

} // namespace cornelcross::membership
