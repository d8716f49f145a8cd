#include "admission/service_load.hpp"

#include <algorithm>

namespace cornelcross::admission {

namespace {

/// A load above this multiple of its limit is not believed.
constexpr std::uint32_t kMostLoad = 2;

/// A report that is older says nothing.
constexpr base::Duration kFresh = std::chrono::seconds(2);

} // namespace

void ServiceLoad::store(base::Time aNow, const wire::LoadReport& aReport)
{
  mEntries[aReport.mUpstream] = { aReport, aNow };
}

double ServiceLoad::share(base::Time aNow, double aLoad, std::uint32_t aLimit) const
{
  double load = std::min<double>(aLoad, kMostLoad * aLimit);
  double limit = aLimit;
  bool isKnown = false;
  for (const auto& [upstream, entry] : mEntries) {
    if (aNow - entry.mReceived > kFresh) {
      continue;
    }
    isKnown = true;
    const double told = static_cast<double>(entry.mReport.mMeanLoad) / wire::kLoadUnitsPerRequest;
    load += std::min<double>(told, kMostLoad * entry.mReport.mLimit);
    limit += entry.mReport.mLimit;
  }
  return isKnown ? load / limit * aLimit : aLimit;
}

base::Duration ServiceLoad::answerTime(base::Time aNow) const
{
  std::int64_t sum = 0;
  std::int64_t count = 0;
  for (const auto& [upstream, entry] : mEntries) {
    if (aNow - entry.mReceived <= kFresh && entry.mReport.mMeanLatencyUs > 0) {
      sum += entry.mReport.mMeanLatencyUs;
      ++count;
    }
  }
  return std::chrono::microseconds(count > 0 ? sum / count : 0);
}

} // namespace cornelcross::admission
