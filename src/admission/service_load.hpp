#pragma once

#include "base/time.hpp"
#include "wire/load_report.hpp"

#include <unordered_map>

namespace cornelcross::admission {

/// @brief Latest load reports of the service's other upstreams.
class ServiceLoad
{
public:
  /// @brief Stores a report in place of the previous one of the same upstream.
  void store(base::Time aNow, const wire::LoadReport& aReport);

  /// @brief Drops all reports.
  void clear() { mReports.clear(); }

  /// @brief Number of requests of an upstream with limit aLimit if the service's load is
  /// distributed in proportion to the limits; aLimit if every report is stale.
  /// @param aLoad  mean load of the upstream itself
  /// @param aSpeed relative speed of the upstream itself
  /// @param aServiceMedian median of the response times of the service, by which the limits of the
  ///                       other upstreams are multiplied with their relative speed; zero to treat
  ///                       them as equally fast
  double fairShare(base::Time aNow,
                   double aLoad,
                   std::uint32_t aLimit,
                   double aSpeed = 1,
                   base::Duration aServiceMedian = base::Duration::zero()) const;

  /// @brief Median of the fresh response times of the other upstreams and of aOwn, the upstream's
  /// own; zero if aOwn is zero or fewer than three other upstreams report a response time.
  base::Duration medianResponseTime(base::Time aNow, base::Duration aOwn) const;

  /// @brief Mean latency of the other upstreams; zero without a fresh report.
  base::Duration meanLatency(base::Time aNow) const;

private:
  struct Entry
  {
    wire::LoadReport mReport;
    base::Time mReceivedAt;
  };

  std::unordered_map<std::uint64_t, Entry> mReports;
};

} // namespace cornelcross::admission
