#pragma once

#include "admission/verdict.hpp"
#include "base/time.hpp"

#include <cstdint>

/// @brief Limits that keep an upstream from more load than it bears.
namespace cornelcross::admission {

/// @brief Decides which new flows an agent's upstream takes, from what the agent sees itself.
/// Deterministic: time comes with each call.
class AdmissionControl
{
public:
  /// @param aMaxFlows connections that the upstream holds at most
  explicit AdmissionControl(std::uint32_t aMaxFlows);

  /// @brief Adopts the number of slots that the configuration declares.
  void configure(std::uint32_t aSlots);

  /// @brief Decides on a new flow.
  Verdict decide(base::Time aNow) const;

  /// @brief A flow was admitted.
  void flowOpened(base::Time aNow);

  /// @brief A flow ended. Its request, if it had one, ends first.
  void flowClosed(base::Time aNow);

  /// @brief A flow's request began: payload went towards the upstream.
  void requestStarted(base::Time aNow);

  /// @brief A flow's request was answered after aLatency.
  void requestAnswered(base::Time aNow, base::Duration aLatency);

  /// @brief A flow ended with its request unanswered.
  void requestAbandoned(base::Time aNow);

  /// @brief Open flows.
  std::uint32_t flows() const { return mFlows; }

  /// @brief Flows with a request in progress.
  std::uint32_t busy() const { return mBusy; }

  /// @brief Requests that may be in progress at once before new flows are passed on.
  std::uint32_t limit() const { return mSlots; }

private:
  std::uint32_t mMaxFlows;
  std::uint32_t mSlots = 1;
  std::uint32_t mFlows = 0;
  std::uint32_t mBusy = 0;
};

} // namespace cornelcross::admission
