#pragma once

#include "admission/admission_settings.hpp"
#include "admission/concurrency_limit.hpp"
#include "admission/placement.hpp"
#include "admission/request_outcomes.hpp"
#include "admission/response_time.hpp"
#include "admission/service_load.hpp"
#include "config/cold_start.hpp"

#include <cstdint>
#include <deque>

/// @brief Admission control: limits, queues and placement that protect an upstream from overload.
namespace cornelcross::admission {

/// @brief Limits the new flows and requests of one upstream by the flows, latencies and resets that
/// its agent observes and by the load reports of other agents. Deterministic: the caller passes the
/// time to each function.
class AdmissionControl
{
public:
  explicit AdmissionControl(const AdmissionSettings& aSettings);

  /// @brief Applies the configuration of the upstream. A cold start begins when the upstream
  /// becomes eligible for new flows or begins to join.
  /// @param aSlots      requests that the upstream can process concurrently
  /// @param aIsEligible the configuration permits new flows
  /// @param aIsJoining  operators declare the upstream joining
  /// @param aColdStart  configured duration and flow rate of the service's cold starts
  void configure(base::Time aNow,
                 std::uint32_t aSlots,
                 bool aIsEligible,
                 bool aIsJoining,
                 config::ColdStart aColdStart = {});

  /// @brief Begins a cold start, because the upstream has started or may have.
  void onUpstreamRestarted(base::Time aNow);

  /// @brief State of the upstream as a candidate for a new flow.
  /// @param aIsEligible the upstream may receive new flows
  CandidateState candidateState(base::Time aNow, bool aIsEligible) const;

  /// @brief Records an admitted flow. Its expected first request counts as load.
  void onFlowOpened(base::Time aNow);

  /// @brief Records a flow that a previous instance of the agent admitted. No first request is
  /// expected.
  void onFlowAdopted(base::Time aNow);

  /// @brief Records the end of a flow. The caller first reports the end of the flow's active or
  /// expected request.
  void onFlowClosed(base::Time aNow);

  /// @brief Stops counting the expected first request of an admitted flow as load.
  void onFirstRequestTimeout(base::Time aNow);

  /// @brief Records the delay from the admission of a flow to the arrival of its first request.
  void onFirstRequest(base::Duration aDelay);

  /// @brief Records the start of a request: the agent delivered its payload to the upstream.
  /// @param aIsExpected the request is the expected first one of an admitted flow
  void onRequestStarted(base::Time aNow, bool aIsExpected);

  /// @brief Records the response to a request and its latency.
  void onRequestAnswered(base::Time aNow, base::Duration aLatency);

  /// @brief Records that a request ended without a response: its flow ended, or the wait for the
  /// response timed out.
  void onRequestAborted(base::Time aNow);

  /// @brief Records that the upstream reset a flow with an active request or refused a new flow.
  /// A restarted upstream resets every flow that it had, so that repeated resets begin a cold
  /// start.
  void onUpstreamReset(base::Time aNow);

  /// @brief Records that the upstream reset a flow with an active request, as evidence that it
  /// fails. Without effect unless AdmissionSettings::mBalancesBySpeed is on.
  void onRequestReset();

  /// @brief Stores the load report of another agent of the service.
  void onLoadReport(base::Time aNow, const wire::LoadReport& aReport);

  /// @brief Drops all load reports, because the service's upstreams changed.
  void clearLoadReports() { mServiceLoad.clear(); }

  /// @brief Load report for the other agents of the service.
  /// @param aUpstream identity of the agent's upstream
  wire::LoadReport makeLoadReport(base::Time aNow, std::uint64_t aUpstream);

  /// @brief Number of open flows.
  std::uint32_t openFlows() const { return mOpenFlows; }

  /// @brief Number of requests in progress, at most one for each flow.
  std::uint32_t activeRequests() const { return mActiveRequests; }

  /// @brief Number of active requests and expected first requests.
  std::uint32_t load() const { return mActiveRequests + mExpectedRequests; }

  /// @brief Maximum number of concurrent requests.
  std::uint32_t requestLimit() const { return mLimit.value(); }

  /// @brief Number of further requests within requestLimit().
  std::uint32_t freeRequestCapacity() const
  {
    return mActiveRequests < requestLimit() ? requestLimit() - mActiveRequests : 0;
  }

  /// @brief Number of further flows within the limits on load and open flows.
  std::uint32_t freeFlowCapacity() const;

  /// @brief Recent mean of the response time; zero if unknown.
  base::Duration responseTime() const { return mLimit.recentLatency(); }

  /// @brief Speed of the upstream in relation to the service's other upstreams, from 0.25 to 1; 1
  /// if it is unknown or AdmissionSettings::mBalancesBySpeed is off.
  double relativeSpeed(base::Time aNow) const { return speed(aNow).mRelative; }

  /// @brief True if the upstream resets most of its requests; its relative speed is then 0.25.
  bool isFailing() const { return mOutcomes.isFailing(); }

  /// @brief True during a cold start.
  bool isCold() const { return mLimit.isCold(); }

private:
  struct Speed
  {
    double mRelative = 1;
    base::Duration mServiceMedian{ 0 }; ///< median response time of the service; 0 if unknown
  };

  Speed speed(base::Time aNow) const;
  bool isIdle(base::Time aNow) const;
  base::Duration reportedLatency(base::Time aNow) const;
  base::Duration referenceLatency(base::Time aNow) const;
  void advance(base::Time aNow);
  std::uint32_t loadLimitForNewFlows() const;
  double meanLoad(base::Time aNow) const;
  bool isWithinColdStartRate(base::Time aNow) const;

  AdmissionSettings mSettings;
  ConcurrencyLimit mLimit;
  ServiceLoad mServiceLoad;
  ResponseTime mResponseTime; ///< empty unless AdmissionSettings::mBalancesBySpeed is on
  RequestOutcomes mOutcomes;  ///< empty unless AdmissionSettings::mBalancesBySpeed is on
  base::Time mLastFlowOpenedAt;
  config::ColdStart mColdStart;
  std::deque<base::Time> mColdStartAdmissions; ///< within the last second of a cold start
  bool mHasBeenEligible = false;
  bool mIsEligible = false;
  bool mIsJoining = false;
  std::uint32_t mOpenFlows = 0;
  std::uint32_t mActiveRequests = 0;
  std::uint32_t mExpectedRequests = 0;
  std::uint32_t mResetCount = 0;
  base::Time mFirstResetTime;
  double mMeanFirstRequestDelayNs = 0; ///< mean delay from an admission to the first request
  base::Time mMeanLoadUpdatedAt;
  double mMeanLoad = 0; ///< exponentially weighted mean of load()
};

} // namespace cornelcross::admission
