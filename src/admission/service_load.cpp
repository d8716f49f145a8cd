#include "admission/service_load.hpp"

#include "admission/relative_speed.hpp"

#include <algorithm>
#include <vector>

namespace cornelcross::admission {

namespace {

/// Upper bound on a load in multiples of its limit; higher loads are implausible and count as the
/// bound.
constexpr std::uint32_t kMaxLoadPerLimit = 2;

/// Older reports are stale and ignored.
constexpr base::Duration kMaxReportAge = std::chrono::seconds(2);

/// With fewer response times of other upstreams, a single slow upstream could be the median.
constexpr std::size_t kMinReportedTimes = 3;

} // namespace

void ServiceLoad::store(base::Time aNow, const wire::LoadReport& aReport)
{
  mReports[aReport.mUpstream] = { aReport, aNow };
}

double ServiceLoad::fairShare(base::Time aNow,
                              double aLoad,
                              std::uint32_t aLimit,
                              double aSpeed,
                              base::Duration aServiceMedian) const
{
  double load = std::min<double>(aLoad, kMaxLoadPerLimit * aLimit);
  double limit = aLimit * aSpeed;
  bool hasFreshReport = false;
  for (const auto& [upstream, entry] : mReports) {
    if (aNow - entry.mReceivedAt > kMaxReportAge) {
      continue;
    }
    hasFreshReport = true;
    const double reported =
      static_cast<double>(entry.mReport.mMeanLoad) / wire::kLoadUnitsPerRequest;
    load += std::min<double>(reported, kMaxLoadPerLimit * entry.mReport.mLimit);
    limit += entry.mReport.mLimit *
             relativeSpeed(aServiceMedian, std::chrono::microseconds(entry.mReport.mMeanLatencyUs));
  }
  return hasFreshReport ? load / limit * (aLimit * aSpeed) : aLimit * aSpeed;
}

base::Duration ServiceLoad::medianResponseTime(base::Time aNow, base::Duration aOwn) const
{
  std::vector<base::Duration> times;
  times.reserve(mReports.size() + 1);
  for (const auto& [upstream, entry] : mReports) {
    if (aNow - entry.mReceivedAt <= kMaxReportAge && entry.mReport.mMeanLatencyUs > 0) {
      times.emplace_back(std::chrono::microseconds(entry.mReport.mMeanLatencyUs));
    }
  }
  if (aOwn <= base::Duration::zero() || times.size() < kMinReportedTimes) {
    return base::Duration::zero();
  }
  times.push_back(aOwn);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
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
