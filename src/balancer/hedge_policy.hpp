#pragma once

#include "balancer/hedge_settings.hpp"

#include <array>
#include <deque>
#include <unordered_map>
#include <vector>

namespace cornelcross::balancer {

/// @brief Decision about a connection attempt that no agent has admitted within its delay.
enum class HedgeDecision
{
  kSend,
  kNoBudget, ///< the limit that operators set is reached
  kOverload, ///< too many attempts of the service are not admitted
};

/// @brief Decides after which delay, and whether, a second agent gets a connection attempt.
///
/// Answers the pattern that few attempts are slow, because an agent has just died or a packet was
/// lost. If many attempts of a service are not admitted, a second agent is unlikely to admit them
/// either, and the extra work would add to the overload.
///
/// Deterministic: the caller passes the current time to each call.
class HedgePolicy
{
public:
  explicit HedgePolicy(const HedgeSettings& aSettings) : mSettings(aSettings) {}

  /// @brief True if the settings allow hedged attempts.
  bool isEnabled() const { return mSettings.mPercent > 0; }

  /// @brief Counts an attempt, which adds to the budget.
  void recordOpening(base::Time aNow);

  /// @brief Records that an agent admitted an attempt after aDelay.
  /// @param aService hash of the name of the service
  void recordAdmission(std::uint64_t aService, base::Duration aDelay);

  /// @brief Time after which an attempt that is not admitted is slow for its service.
  base::Duration delay(std::uint64_t aService) const;

  /// @brief Records an attempt that no agent has admitted within delay(), or whose SYN its caller
  /// has retransmitted. Called once for each attempt.
  void recordLate(std::uint64_t aService) { addOutcome(stateOf(aService), true); }

  /// @brief Decides about a late attempt.
  HedgeDecision decide(base::Time aNow, std::uint64_t aService);

  /// @brief True if another agent may get the retransmitted SYN of a late attempt.
  bool mayRedirect(std::uint64_t aService) { return !isOverloaded(stateOf(aService)); }

  /// @brief Number of decisions of a kind so far.
  std::uint64_t count(HedgeDecision aDecision) const
  {
    return mCounts[static_cast<std::size_t>(aDecision)];
  }

private:
  /// Outcomes and delays of the latest attempts of a service.
  struct ServiceState
  {
    std::vector<base::Duration> mDelays; ///< ring of the latest admissions
    std::size_t mNextDelay = 0;
    std::deque<bool> mLate; ///< latest attempts; true if not admitted within the delay
  };

  static void addOutcome(ServiceState& aState, bool aIsLate);
  static bool isOverloaded(const ServiceState& aState);
  ServiceState& stateOf(std::uint64_t aService);
  bool hasBudget(base::Time aNow);

  HedgeSettings mSettings;
  std::deque<base::Time> mOpenings; ///< within the budget's window
  std::deque<base::Time> mHedges;   ///< within the budget's window
  std::unordered_map<std::uint64_t, ServiceState> mServices;
  std::array<std::uint64_t, 3> mCounts{};
};

} // namespace cornelcross::balancer
