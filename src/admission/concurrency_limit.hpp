#pragma once

#include "base/time.hpp"

#include <compare>
#include <cstdint>

namespace cornelcross::admission {

/// @brief Settings of a concurrency limit.
struct ConcurrencyLimitSettings
{
  std::uint32_t mColdStartLimit = 1; ///< maximum concurrent requests during a cold start

  /// Default duration of a cold start.
  base::Duration mColdStartDuration = std::chrono::seconds(30);

  /// Minimum time between two adjustments.
  base::Duration mSampleWindow = std::chrono::milliseconds(250);

  std::uint32_t mMinSamples = 16; ///< minimum number of responses for an adjustment
  bool mIsAdaptive = true;        ///< adapts to latency; otherwise the configured slots apply

  auto operator<=>(const ConcurrencyLimitSettings&) const = default;
};

/// @brief Limit on the concurrent requests of an upstream, adapted to the latency of its responses.
///
/// The limit is low after a start of the upstream, grows while the latency stays near its
/// reference, and falls when the latency rises. A restart of the upstream resets the limit.
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings) : mSettings(aSettings) {}

  /// @brief Sets the configured upper bound of the limit. The cold start of a joining upstream does
  /// not end.
  void configure(std::uint32_t aSlots, bool aIsJoining);

  /// @brief Begins a cold start of the default duration, because the upstream restarted or is about
  /// to.
  void beginColdStart(base::Time aNow);

  /// @brief Begins a cold start of the configured duration aColdStart.
  void beginColdStart(base::Time aNow, base::Duration aColdStart);

  /// @brief Ends an expired cold start if the limit is not adaptive. With an adaptive limit a cold
  /// start ends when a window of responses closes.
  void advance(base::Time aNow);

  /// @brief Ends the cold start, because the upstream was already running; the limit may grow.
  void endColdStart() { mIsCold = false; }

  /// @brief Records a response.
  /// @param aLatency time from the request to the response
  /// @param aLoad    load of the upstream when the response arrived
  void onResponse(base::Time aNow, base::Duration aLatency, std::uint32_t aLoad);

  /// @brief Sets the latency of comparable upstreams as the reference for this one; zero selects
  /// baselineLatency().
  void setReferenceLatency(base::Duration aLatency) { mReferenceLatency = aLatency; }

  /// @brief Exponentially weighted mean of the recent latency; zero until the first window closes.
  base::Duration recentLatency() const { return base::Duration(static_cast<long>(mRecentNs)); }

  /// @brief Maximum number of concurrent requests.
  std::uint32_t value() const { return mValue; }

  /// @brief True during a cold start.
  bool isCold() const { return mIsCold; }

  /// @brief Slowly adapting mean of the latency without queueing delay; zero until the first window
  /// closes.
  base::Duration baselineLatency() const { return base::Duration(static_cast<long>(mBaselineNs)); }

private:
  void closeWindow(base::Time aNow);
  void increase();
  void decrease(double aRatio);

  ConcurrencyLimitSettings mSettings;
  std::uint32_t mSlots = 1;
  std::uint32_t mValue = 1;
  bool mIsJoining = false;
  bool mIsCold = true;
  bool mHasStarted = false;
  base::Time mColdStartEnd;
  base::Time mWindowEnd;
  double mBaselineNs = 0;
  double mRecentNs = 0;
  base::Duration mReferenceLatency{ 0 };
  double mLatencySumNs = 0; ///< sum within the current window
  std::uint32_t mSampleCount = 0;
  std::uint32_t mPeakLoad = 0; ///< highest load within the current window
};

} // namespace cornelcross::admission
