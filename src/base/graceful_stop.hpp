#pragma once

#include "base/time.hpp"

#include <optional>

namespace cornelcross::base {

/// @brief When a process that was told to stop may end: once nothing needs it, or at a deadline.
class GracefulStop
{
public:
  /// @param aLimit time after which the process ends in any case
  explicit GracefulStop(Duration aLimit) : mLimit(aLimit) {}

  /// @brief The process was told to stop. @return true if it had been told before
  bool request(Time aNow)
  {
    const bool isRepeated = mRequested.has_value();
    mRequested = mRequested.value_or(aNow);
    return isRepeated;
  }

  /// @brief True once the process was told to stop.
  bool isRequested() const { return mRequested.has_value(); }

  /// @brief True if the process ends now. @param aIsNeeded something still depends on it
  bool isDue(Time aNow, bool aIsNeeded) const
  {
    return mRequested && (!aIsNeeded || aNow - *mRequested >= mLimit);
  }

private:
  Duration mLimit;
  std::optional<Time> mRequested;
};

} // namespace cornelcross::base
