#pragma once

#include "base/time.hpp"

#include <compare>
#include <cstdint>

namespace cornelcross::admission {

/// @brief Settings of a concurrency limit.
struct ConcurrencyLimitSettings
{
  std::uint32_t mColdLimit = 1; ///< requests at once during a cold start
  base::Duration mColdStartDuration = std::chrono::seconds(30); ///< length of a cold start
  base::Duration mWindow = std::chrono::milliseconds(250); ///< shortest time between two changes
  std::uint32_t mMinSamples = 16;                          ///< answers that a change needs at least
  bool mIsAdaptive = true; ///< from answer times; otherwise the declared slots count

  auto operator<=>(const ConcurrencyLimitSettings&) const = default;
};

/// @brief Requests that an upstream may run at once, learned from its answer times.
/// Starts low after each start, grows while answers come as fast as usual, falls when they slow
/// down or fail.
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings) : mSettings(aSettings) {}

  /// @brief Upper bound that the configuration declares. A joining upstream stays cold.
  void configure(std::uint32_t aSlots, bool aIsJoining);

  /// @brief The upstream has started again, or is about to.
  void restart(base::Time aNow);

  /// @brief The upstream has started again, and operators state how long it stays cold.
  void restart(base::Time aNow, base::Duration aColdStart);

  /// @brief Ends a cold start whose time is over, if nothing is learned from answers.
  void advance(base::Time aNow);

  /// @brief The upstream turned out to have been running before; growth may begin.
  void endColdStart() { mIsCold = false; }

  /// @brief An answer came after aLatency; aLoad requests were in progress with it.
  void onAnswer(base::Time aNow, base::Duration aLatency, std::uint32_t aLoad);

  /// @brief Answer time of like upstreams to compare with; zero for the upstream's own usual one.
  void compareWith(base::Duration aAnswerTime) { mReference = aAnswerTime; }

  /// @brief Mean answer time lately; zero until it is known.
  base::Duration recentLatency() const { return base::Duration(static_cast<long>(mRecent)); }

  /// @brief Requests at once.
  std::uint32_t value() const { return mValue; }

  /// @brief True during a cold start.
  bool isCold() const { return mIsCold; }

  /// @brief Usual answer time; zero until the first answer.
  base::Duration baselineLatency() const { return base::Duration(static_cast<long>(mUsual)); }

private:
  void closeWindow(base::Time aNow);
  void grow();
  void fall(double aRatio);

  ConcurrencyLimitSettings mSettings;
  std::uint32_t mSlots = 1;
  std::uint32_t mValue = 1;
  bool mIsJoining = false;
  bool mIsCold = true;
  bool mHasStart = false;
  base::Time mColdUntil;
  base::Time mWindowEnd;
  double mUsual = 0;  ///< nanoseconds
  double mRecent = 0; ///< nanoseconds
  base::Duration mReference{ 0 };
  double mSum = 0; ///< nanoseconds, of this window
  std::uint32_t mSamples = 0;
  std::uint32_t mPeak = 0; ///< highest load of this window
};

} // namespace cornelcross::admission
