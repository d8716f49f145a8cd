#pragma once

#include "bench/policy/service.hpp"

#include <memory>
#include <string>

namespace cornelcross::bench {

/// @brief Places flows on upstreams.
class Policy
{
public:
  explicit Policy(Service& aService) : mService(aService) {}
  virtual ~Policy() = default;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  /// @brief A SYN has arrived.
  virtual void open(const FlowPtr& aFlow) = 0;

  /// @brief A request has arrived for a flow that was admitted.
  virtual void request(const FlowPtr& aFlow) { mService.mStart(aFlow); }

  /// @brief The upstream answered. @param aLatency since the request reached it
  virtual void answered(const FlowPtr&, base::Duration) {}

  /// @brief The flow has ended. @param aIsReset the upstream reset it
  virtual void closed(const FlowPtr&, bool) {}

  /// @brief Called every 10 ms.
  virtual void tick() {}

  /// @brief New flows that wait.
  virtual std::size_t held() const { return 0; }

  /// @brief The upstreams that are eligible have changed.
  virtual void reconfigured() {}

protected:
  Service& mService;
};

/// @brief Conditions under which load reports travel.
struct ReportChannel
{
  base::Duration mInterval = std::chrono::milliseconds(250);
  base::Duration mDelay = std::chrono::microseconds(3500);
  double mLoss = 0; ///< share of reports that are lost
};

/// @brief The policy of this name; null if there is none.
std::unique_ptr<Policy> makePolicy(const std::string& aName,
                                   Service& aService,
                                   const ReportChannel& aChannel);

} // namespace cornelcross::bench
