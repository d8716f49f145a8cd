#include "admission/service_load.hpp"

#include <algorithm>

namespace cornelcross::admission {

namespace {

/// Upper bound on a load in multiples of its limit; higher loads are implausible and count as the
/// bound.
constexpr std::uint32_t kMaxLoadPerLimit = 2;

/// Older reports are stale and ignored.
constexpr base::Duration kMaxReportAge = std::chrono::seconds(2);

} // namespace

void ServiceLoad::store(base::Time aNow, const wire::LoadReport& aReport)
{
  mReports[aReport.mUpstream] = { aReport, aNow };
}

double ServiceLoad::fairShare(base::Time aNow, double aLoad, std::uint32_t aLimit) const
{
  double load = std::min<double>(aLoad, kMaxLoadPerLimit * aLimit);
  double limit = aLimit;
  bool hasFreshReport = false;
  for (const auto& [upstream, entry] : mReports) {
    if (aNow - entry.mReceivedAt > kMaxReportAge) {
      continue;
    }
    hasFreshReport = true;
    const double reported =
      static_cast<double>(entry.mReport.mMeanLoad) / wire::kLoadUnitsPerRequest;
    load += std::min<double>(reported, kMaxLoadPerLimit * entry.mReport.mLimit);
    limit += entry.mReport.mLimit;
  }
  return hasFreshReport ? load / limit * aLimit : aLimit;
}

base::Duration ServiceLoad::meanLatency(base::Time aNow) const
{
  std::int64_t sumUs = 0;
  std::int64_t reportCount = 0;
  for (const auto& [upstream, entry] : mReports) {
    if (aNow - entry.mReceivedAt <= kMaxReportAge && entry.mReport.mMeanLatencyUs > 0) {
      sumUs += entry.mReport.mMeanLatencyUs;
      ++reportCount;
    }
  }
  return std::chrono::microseconds(reportCount > 0 ? sumUs / reportCount : 0);
}

} // namespace cornelcross::admission
