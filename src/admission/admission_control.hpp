#pragma once

#include "admission/admission_settings.hpp"
#include "admission/concurrency_limit.hpp"
#include "admission/placement.hpp"
#include "admission/service_load.hpp"
#include "config/cold_start.hpp"

#include <cstdint>
#include <deque>

/// @brief Limits that keep an upstream from more load than it bears.
namespace cornelcross::admission {

/// @brief Decides which new flows and requests an agent's upstream takes, from what the agent sees
/// itself. Deterministic: time comes with each call.
class AdmissionControl
{
public:
  explicit AdmissionControl(const AdmissionSettings& aSettings);

  /// @brief Adopts what the configuration declares. An upstream that becomes eligible for new flows
  /// or is joining is cold.
  /// @param aColdStart what operators state of the service's cold starts
  void configure(base::Time aNow,
                 std::uint32_t aSlots,
                 bool aIsEligible,
                 bool aIsJoining,
                 config::ColdStart aColdStart = {});

  /// @brief The upstream has started, as far as is known.
  void onUpstreamRestarted(base::Time aNow);

  /// @brief What the upstream could do with a new flow. @param aIsEligible the configuration lets
  /// it
  CandidateState candidateState(base::Time aNow, bool aIsEligible) const;

  /// @brief A flow was admitted. Its first request is expected and counts as load.
  void onFlowOpened(base::Time aNow);

  /// @brief A flow of an earlier agent was found; nothing is expected of it.
  void onFlowAdopted(base::Time aNow);

  /// @brief A flow ended. Its request or expectation, if it had one, ends first.
  void onFlowClosed(base::Time aNow);

  /// @brief The first request of an admitted flow didn't come.
  void onFirstRequestTimeout(base::Time aNow);

  /// @brief The first request of an admitted flow arrived aDelay after the admission.
  void onFirstRequest(base::Duration aDelay);

  /// @brief A flow's request began: payload went towards the upstream.
  /// @param aIsExpected the request is the first one of an admitted flow
  void onRequestStarted(base::Time aNow, bool aIsExpected);

  /// @brief A flow's request was answered after aLatency.
  void onRequestAnswered(base::Time aNow, base::Duration aLatency);

  /// @brief A flow ended with its request unanswered, or no answer is awaited any more.
  void onRequestAborted(base::Time aNow);

  /// @brief The upstream reset a flow with a request in progress, or refused a new one. An upstream
  /// that has restarted does that to every flow that it had.
  void onUpstreamReset(base::Time aNow);

  /// @brief Another agent of the service told its load.
  void onLoadReport(base::Time aNow, const wire::LoadReport& aReport);

  /// @brief The service's upstreams have changed.
  void clearLoadReports() { mService.clear(); }

  /// @brief What this agent tells the others.
  wire::LoadReport makeLoadReport(base::Time aNow, std::uint64_t aUpstream);

  /// @brief Open flows.
  std::uint32_t openFlows() const { return mFlows; }

  /// @brief Flows with a request in progress.
  std::uint32_t activeRequests() const { return mActiveRequests; }

  /// @brief Requests in progress and expected.
  std::uint32_t load() const { return mActiveRequests + mExpected; }

  /// @brief Requests that may be in progress at once.
  std::uint32_t requestLimit() const { return mLimit.value(); }

  /// @brief Requests that the upstream could start now.
  std::uint32_t freeRequestCapacity() const
  {
    return mActiveRequests < requestLimit() ? requestLimit() - mActiveRequests : 0;
  }

  /// @brief New flows that the upstream could take now.
  std::uint32_t freeFlowCapacity() const;

  /// @brief True during a cold start.
  bool isCold() const { return mLimit.isCold(); }

private:
  void advance(base::Time aNow);
  std::uint32_t flowLimit() const;
  double meanLoad(base::Time aNow) const;
  bool mayOpenCold(base::Time aNow) const;

  AdmissionSettings mSettings;
  ConcurrencyLimit mLimit;
  ServiceLoad mService;
  config::ColdStart mColdStart;
  std::deque<base::Time> mOpenings; ///< of flows during a cold start, within a second
  bool mWasEligible = false;        ///< at any time before
  bool mIsEligible = false;
  bool mIsJoining = false;
  std::uint32_t mFlows = 0;
  std::uint32_t mActiveRequests = 0;
  std::uint32_t mExpected = 0;
  std::uint32_t mResets = 0;
  base::Time mFirstReset;
  double mExpectation = 0; ///< nanoseconds from an admission to the first request
  base::Time mUpdated;     ///< when mMeanLoad was last brought up to date
  double mMeanLoad = 0;    ///< exponentially weighted mean of load()
};

} // namespace cornelcross::admission
