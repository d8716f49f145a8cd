#include "membership/control_budget.hpp"

#include <algorithm>
#include <array>

namespace cornelcross::membership {

namespace {

/// Part of the bucket that each kind leaves to the more important ones.
constexpr std::array<double, kControlKinds> kReserve{ 0, 0, 0, 0.1, 0.2, 0.4, 0.6 };

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
  const bool fits = mayGoIntoDebt(aKind) ? mLevel > 0 : mLevel - bytes >= reserve;
  if (fits) {
    mLevel -= bytes;
  }
  return fits;
}

void ControlBudget::charge(base::Time aNow, std::size_t aBytes)
{
  refill(aNow);
  mLevel -= static_cast<double>(aBytes);
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
