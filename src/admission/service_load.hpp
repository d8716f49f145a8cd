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
  /// @param aLoad mean load of the upstream itself
  double fairShare(base::Time aNow, double aLoad, std::uint32_t aLimit) const;

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
