#include "admission/response_time.hpp"

#include <algorithm>
#include <vector>

namespace cornelcross::admission {

namespace {

constexpr std::size_t kMaxResponses = 64;
constexpr base::Duration kMaxResponseAge = std::chrono::seconds(30);

/// With fewer responses, the median depends on the mix of requests more than on the upstream.
constexpr std::size_t kMinResponses = 8;

} // namespace

void ResponseTime::record(base::Time aNow, base::Duration aLatency)
{
  mResponses.push_back({ aNow, aLatency });
  if (mResponses.size() > kMaxResponses) {
    mResponses.pop_front();
  }
}

base::Duration ResponseTime::median(base::Time aNow) const
{
  std::vector<base::Duration> latencies;
  latencies.reserve(mResponses.size());
  for (const Response& response : mResponses) {
    if (aNow - response.mReceivedAt <= kMaxResponseAge) {
      latencies.push_back(response.mLatency);
    }
  }
  if (latencies.size() < kMinResponses) {
    return base::Duration::zero();
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

} // namespace cornelcross::admission
