#include "balancer/hedge_policy.hpp"

#include <algorithm>

namespace cornelcross::balancer {

namespace {

/// Window of the budget.
constexpr base::Duration kBudgetWindow = std::chrono::seconds(10);

/// Bounds the memory of the window. With more attempts, the budget is smaller than its percentage.
constexpr std::size_t kMaxOpenings = 65536;

constexpr std::size_t kMaxDelays = 256;
constexpr std::size_t kMinDelays = 32;

/// A delay above twice the 95th percentile is not explained by ordinary variation.
constexpr double kQuantile = 0.95;
constexpr int kDelayFactor = 2;

/// Attempts of a service by which overload is detected, and the share that has to be admitted in
/// time: with more than a fifth missing, the cause is not a single agent or packet.
constexpr std::size_t kOutcomes = 64;
constexpr std::size_t kMaxLateDivisor = 5;

/// Bounds the memory. Services beyond it share one state.
constexpr std::size_t kMaxServices = 1024;

void dropBefore(std::deque<base::Time>& aTimes, base::Time aTime)
{
  while (!aTimes.empty() && aTimes.front() < aTime) {
    aTimes.pop_front();
  }
}

} // namespace

HedgePolicy::ServiceState& HedgePolicy::stateOf(std::uint64_t aService)
{
  const bool isFull = mServices.size() >= kMaxServices && !mServices.contains(aService);
  return mServices[isFull ? 0 : aService];
}

void HedgePolicy::recordOpening(base::Time aNow)
{
  dropBefore(mOpenings, aNow - kBudgetWindow);
  if (mOpenings.size() < kMaxOpenings) {
    mOpenings.push_back(aNow);
  }
}

void HedgePolicy::addOutcome(ServiceState& aState, bool aIsLate)
{
  aState.mLate.push_back(aIsLate);
  if (aState.mLate.size() > kOutcomes) {
    aState.mLate.pop_front();
  }
}

// After a loss of power, for example, admissions of all agents take longer than callers wait before
// they retransmit. Another agent for each copy would then admit most attempts twice.
bool HedgePolicy::isOverloaded(const ServiceState& aState)
{
  const auto late = std::count(aState.mLate.begin(), aState.mLate.end(), true);
  return static_cast<std::size_t>(late) * kMaxLateDivisor > kOutcomes;
}

// A late attempt has been counted by recordLate() already, but its delay belongs to the
// distribution.
void HedgePolicy::recordAdmission(std::uint64_t aService, base::Duration aDelay)
{
  const bool isInTime = aDelay <= delay(aService);
  ServiceState& state = stateOf(aService);
  if (isInTime) {
    addOutcome(state, false);
  }
  if (state.mDelays.size() < kMaxDelays) {
    state.mDelays.push_back(aDelay);
    return;
  }
  state.mDelays[state.mNextDelay] = aDelay;
  state.mNextDelay = (state.mNextDelay + 1) % kMaxDelays;
}

base::Duration HedgePolicy::delay(std::uint64_t aService) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || found->second.mDelays.size() < kMinDelays) {
    return mSettings.mMaxDelay;
  }
  std::vector<base::Duration> delays = found->second.mDelays;
  const auto rank = static_cast<std::ptrdiff_t>(kQuantile * static_cast<double>(delays.size()));
  std::nth_element(delays.begin(), delays.begin() + rank, delays.end());
  return std::clamp(kDelayFactor * delays[static_cast<std::size_t>(rank)],
                    mSettings.mMinDelay,
                    mSettings.mMaxDelay);
}

bool HedgePolicy::hasBudget(base::Time aNow)
{
  constexpr std::size_t kPercent = 100;
  dropBefore(mOpenings, aNow - kBudgetWindow);
  dropBefore(mHedges, aNow - kBudgetWindow);
  return (mHedges.size() + 1) * kPercent <= mOpenings.size() * mSettings.mPercent;
}

HedgeDecision HedgePolicy::decide(base::Time aNow, std::uint64_t aService)
{
  ServiceState& state = stateOf(aService);
  HedgeDecision decision = HedgeDecision::kSend;
  if (isOverloaded(state)) {
    decision = HedgeDecision::kOverload;
  } else if (!hasBudget(aNow)) {
    decision = HedgeDecision::kNoBudget;
  } else {
    mHedges.push_back(aNow);
  }
  ++mCounts[static_cast<std::size_t>(decision)];
  return decision;
}

} // namespace cornelcross::balancer
