#pragma once

#include "base/time.hpp"

#include <deque>

namespace cornelcross::admission {

/// @brief Robust estimate of an upstream's response time: the median of its recent responses.
/// Deterministic: the caller passes the time to each function.
class ResponseTime
{
public:
  /// @brief Records a response. @param aLatency time from the request to the response
  void record(base::Time aNow, base::Duration aLatency);

  /// @brief Drops all responses, because another process answers from now on.
  void clear() { mResponses.clear(); }

  /// @brief Median of the last 64 responses that are not older than 30 s; zero if there are fewer
  /// than 8 of them.
  base::Duration median(base::Time aNow) const;

private:
  struct Response
  {
    base::Time mReceivedAt;
    base::Duration mLatency;
  };

  std::deque<Response> mResponses; ///< oldest first
};

} // namespace cornelcross::admission
